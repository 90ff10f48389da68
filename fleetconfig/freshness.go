package fleetconfig

import (
	"maps"
	"slices"
	"time"
)

// peerState is what is known about another entry.
type peerState struct {
	dataCentre string
	lastSeen   time.Time // when the entry was last known to be alive, directly or as relayed by another entry
	responded  bool
	response   PeerResponse // latest response, if responded
}

// Freshness decides whether keyed requests, that is, requests authenticated by a key that may have been withdrawn, may
// be served with the configuration that this entry has applied. It is not safe for concurrent use.
//
// Invariant: a decision to serve means that this entry has applied every change accepted more than KeyFreshness plus
// ResponseWindow ago, or that at least half of the entries, including at least one in each data centre, cannot
// reach the table either.
type Freshness struct {
	opts            FreshnessOptions
	confirmedAt     time.Time
	confirmed       bool
	appliedRevision int64
	started         bool
	peers           map[string]*peerState
	responseWindow  time.Duration
	// maxPeerRevision is the highest revision that any peer has reported, and maxRevisionPeer is the name of that peer.
	// It is kept after the peer is removed, because an accepted change stays accepted.
	maxPeerRevision int64
	maxRevisionPeer string
}

// NewFreshness returns the Freshness of an entry that has just started and knows no peers.
func NewFreshness(opts FreshnessOptions) *Freshness {
	opts = opts.withDefaults()
	return &Freshness{opts: opts, peers: make(map[string]*peerState), responseWindow: opts.ResponseWindow}
}

// SetResponseWindow sets how long a response counts, but not below the configured window. Fleets that are too large to
// query every entry each second need a longer window.
func (f *Freshness) SetResponseWindow(window time.Duration) {
	f.responseWindow = max(window, f.opts.ResponseWindow)
}

// ResponseWindow returns how long a response counts.
func (f *Freshness) ResponseWindow() time.Duration { return f.responseWindow }

// ObserveEntry records that an entry exists and was alive at now.
func (f *Freshness) ObserveEntry(name, dataCentre string, now time.Time) {
	if name == f.opts.Self || name == "" {
		return
	}
	entry, ok := f.peers[name]
	if !ok {
		entry = &peerState{}
		f.peers[name] = entry
	}
	if dataCentre != "" {
		entry.dataCentre = dataCentre
	}
	if now.After(entry.lastSeen) {
		entry.lastSeen = now
	}
}

// ObserveRevision records that the configuration of an entry is complete up to revision, as reported by any source.
func (f *Freshness) ObserveRevision(name string, revision int64) {
	if revision > f.maxPeerRevision {
		f.maxPeerRevision, f.maxRevisionPeer = revision, name
	}
}

// RemoveEntry removes an entry that shut down gracefully or turned out to have another name.
func (f *Freshness) RemoveEntry(name string) { delete(f.peers, name) }

// Expire removes entries that were not seen for EntryTimeout and returns their names. It does nothing without a recent
// confirmation: a partitioned entry must not reduce the known fleet to itself and continue to serve.
func (f *Freshness) Expire(now time.Time) []string {
	if !f.recentlyConfirmed(now) {
		return nil
	}
	var removed []string
	for name, entry := range f.peers {
		if now.Sub(entry.lastSeen) > f.opts.EntryTimeout {
			removed = append(removed, name)
			delete(f.peers, name)
		}
	}
	slices.Sort(removed)
	return removed
}

// RecordApplied records the revision up to which the configuration of this entry is complete.
func (f *Freshness) RecordApplied(revision int64) {
	f.appliedRevision = max(f.appliedRevision, revision)
	for _, name := range slices.Sorted(maps.Keys(f.peers)) {
		f.adoptConfirmation(f.peers[name])
	}
}

// RecordConfirmation records that a read of the table, sent at sentAt, confirmed the applied configuration.
func (f *Freshness) RecordConfirmation(sentAt time.Time) {
	f.started = true
	f.advanceConfirmation(sentAt)
}

// advanceConfirmation sets the time of the last confirmation to at, if that is later.
func (f *Freshness) advanceConfirmation(at time.Time) {
	if !f.confirmed || at.After(f.confirmedAt) {
		f.confirmed = true
		f.confirmedAt = at
	}
}

// RecordResponse records the response of a peer. The confirmation of the peer is adopted once this entry has applied
// the peer's revision.
func (f *Freshness) RecordResponse(r PeerResponse) {
	f.ObserveEntry(r.Name, r.DataCentre, r.SentAt)
	f.ObserveRevision(r.Name, r.Revision)
	entry, ok := f.peers[r.Name]
	if !ok || (entry.responded && r.SentAt.Before(entry.response.SentAt)) {
		return
	}
	entry.responded = true
	entry.response = r
	f.adoptConfirmation(entry)
}

// adoptConfirmation adopts the confirmation of a peer if this entry has applied at least the peer's revision.
func (f *Freshness) adoptConfirmation(entry *peerState) {
	if entry.responded && entry.response.ConfirmationAge >= 0 && entry.response.Revision <= f.appliedRevision {
		f.advanceConfirmation(entry.response.confirmedAt())
	}
}

// ConfirmationAge returns the time since the last confirmation, or a negative duration if there was none.
func (f *Freshness) ConfirmationAge(now time.Time) time.Duration {
	if !f.confirmed {
		return -1
	}
	return max(0, now.Sub(f.confirmedAt))
}

// KnownEntries returns the number of known entries, this one included.
func (f *Freshness) KnownEntries() int { return len(f.peers) + 1 }

// recentlyConfirmed reports whether the last confirmation is valid without a quorum of peers.
func (f *Freshness) recentlyConfirmed(now time.Time) bool {
	return f.confirmed && f.ConfirmationAge(now) <= f.opts.KeyFreshness
}

// Started reports whether, since the start, the table has confirmed the configuration or enough peers have responded
// without a newer one.
func (f *Freshness) Started(now time.Time) bool {
	f.updateStarted(now)
	return f.started
}

// updateStarted ends the start without a confirmation by the table if the quorum rule for a table outage is met and at
// least minStartPeers peers responded.
func (f *Freshness) updateStarted(now time.Time) {
	if f.started || !f.confirmed {
		return
	}
	decision := f.quorumDecision(now)
	if decision.Serve && decision.RespondingPeers >= minStartPeers {
		f.started = true
	}
}

// Decision returns whether keyed requests may be served at now, and why.
func (f *Freshness) Decision(now time.Time) Decision {
	f.updateStarted(now)
	if !f.started {
		return Decision{Reason: ReasonStarting, ConfirmationAge: f.ConfirmationAge(now),
			RespondingPeers: f.countResponding(now), KnownEntries: f.KnownEntries()}
	}
	if f.recentlyConfirmed(now) {
		return Decision{Serve: true, Reason: ReasonConfirmed, ConfirmationAge: f.ConfirmationAge(now),
			KnownEntries: f.KnownEntries()}
	}
	return f.quorumDecision(now)
}

// quorumDecision returns the decision when the last confirmation is too old to count by itself.
func (f *Freshness) quorumDecision(now time.Time) Decision {
	decision := Decision{ConfirmationAge: f.ConfirmationAge(now),
		RespondingPeers: f.countResponding(now), KnownEntries: f.KnownEntries()}
	if peer := f.peerAhead(); peer != "" {
		decision.Reason, decision.Detail = ReasonPeerAhead, peer
		return decision
	}
	// This entry does not count as responding: in a fleet partitioned into equal halves, neither half may reach the
	// quorum by itself.
	if decision.KnownEntries > 1 && 2*decision.RespondingPeers < decision.KnownEntries {
		decision.Reason = ReasonTooFewPeers
		return decision
	}
	if dataCentre := f.silentDataCentre(now); dataCentre != "" {
		decision.Reason, decision.Detail = ReasonDataCentreSilent, dataCentre
		return decision
	}
	decision.Serve, decision.Reason = true, ReasonStoreDown
	return decision
}

// isResponding reports whether the latest response of an entry is recent. A response of an entry that never had a
// confirmation does not count.
func (f *Freshness) isResponding(entry *peerState, now time.Time) bool {
	return entry.responded && entry.response.ConfirmationAge >= 0 && now.Sub(entry.response.SentAt) <= f.responseWindow
}

func (f *Freshness) countResponding(now time.Time) int {
	responding := 0
	for _, entry := range f.peers {
		if f.isResponding(entry, now) {
			responding++
		}
	}
	return responding
}

// peerAhead returns the name of a peer with a newer configuration, or "". A newer confirmation of the same
// configuration needs no check here, because adoptConfirmation has adopted it.
func (f *Freshness) peerAhead() string {
	if f.maxPeerRevision > f.appliedRevision {
		return f.maxRevisionPeer
	}
	return ""
}

// silentDataCentre returns the name of another data centre of which no entry is responding, or "".
func (f *Freshness) silentDataCentre(now time.Time) string {
	responding := map[string]bool{f.opts.DataCentre: true, "": true}
	for _, entry := range f.peers {
		if f.isResponding(entry, now) {
			responding[entry.dataCentre] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.peers)) {
		if dc := f.peers[name].dataCentre; !responding[dc] {
			return dc
		}
	}
	return ""
}
