package fleetconfig

import (
	"maps"
	"slices"
	"time"
)

// peerState is what the rule knows of another entry.
type peerState struct {
	dataCentre string
	lastSeen   time.Time // latest sign of life, direct or reported
	responded  bool
	response   PeerResponse // latest direct answer
}

// Freshness decides whether keyed work may be served with the configuration at hand.
//
// Invariant: a verdict to serve means that no change was accepted more than KeyFreshness plus AnswerWindow ago that
// this entry has not applied, or that the table was reachable for none of half of the entries and of at least one in
// each data centre.
type Freshness struct {
	opts            FreshnessOptions
	confirmedAt     time.Time
	confirmed       bool
	appliedRevision int64
	started         bool
	peers           map[string]*peerState
	responseWindow  time.Duration
	// maxPeerRevision is the highest revision that any peer reported, and newestFrom that peer. It outlives the peer, because
	// a change that was accepted once stays accepted.
	maxPeerRevision int64
	maxRevisionPeer string
}

// NewFreshness returns the rule of an entry that just started and has heard nothing.
func NewFreshness(opts FreshnessOptions) *Freshness {
	opts = opts.withDefaults()
	return &Freshness{opts: opts, peers: make(map[string]*peerState), responseWindow: opts.ResponseWindow}
}

// SetResponseWindow widens the time for which an answer counts, for fleets too large to ask every entry each second.
func (f *Freshness) SetResponseWindow(window time.Duration) {
	f.responseWindow = max(window, f.opts.ResponseWindow)
}

// ResponseWindow returns how long an answer counts.
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

// ObserveRevision records that an entry was heard of to have a configuration complete up to revision.
func (f *Freshness) ObserveRevision(name string, revision int64) {
	if revision > f.maxPeerRevision {
		f.maxPeerRevision, f.maxRevisionPeer = revision, name
	}
}

// RemoveEntry drops an entry that left in an orderly way or turned out to have another name.
func (f *Freshness) RemoveEntry(name string) { delete(f.peers, name) }

// Expire drops entries that were silent for ForgetAfter. It does nothing while the table does not confirm: a cut-off
// entry must not shrink the fleet to itself and serve on. It returns the names dropped.
func (f *Freshness) Expire(now time.Time) []string {
	if !f.recentlyConfirmed(now) {
		return nil
	}
	var dropped []string
	for name, entry := range f.peers {
		if now.Sub(entry.lastSeen) > f.opts.EntryTimeout {
			dropped = append(dropped, name)
			delete(f.peers, name)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// RecordApplied records the revision up to which the configuration of this entry is complete.
func (f *Freshness) RecordApplied(revision int64) {
	f.appliedRevision = max(f.appliedRevision, revision)
	for _, name := range slices.Sorted(maps.Keys(f.peers)) {
		f.adoptConfirmation(f.peers[name])
	}
}

// RecordConfirmation records that the table confirmed the applied configuration by a read sent at sentAt.
func (f *Freshness) RecordConfirmation(sentAt time.Time) {
	f.started = true
	f.advanceConfirmation(sentAt)
}

func (f *Freshness) advanceConfirmation(at time.Time) {
	if !f.confirmed || at.After(f.confirmedAt) {
		f.confirmed = true
		f.confirmedAt = at
	}
}

// RecordResponse records the answer of a peer. Its confirmation counts here as soon as its revision is applied.
func (f *Freshness) RecordResponse(a PeerResponse) {
	f.ObserveEntry(a.Name, a.DataCentre, a.SentAt)
	f.ObserveRevision(a.Name, a.Revision)
	entry, ok := f.peers[a.Name]
	if !ok || (entry.responded && a.SentAt.Before(entry.response.SentAt)) {
		return
	}
	entry.responded = true
	entry.response = a
	f.adoptConfirmation(entry)
}

func (f *Freshness) adoptConfirmation(entry *peerState) {
	if entry.responded && entry.response.ConfirmationAge >= 0 && entry.response.Revision <= f.appliedRevision {
		f.advanceConfirmation(entry.response.confirmedAt())
	}
}

// ConfirmationAge returns the time since the last confirmation, or a negative duration when there was none.
func (f *Freshness) ConfirmationAge(now time.Time) time.Duration {
	if !f.confirmed {
		return -1
	}
	return max(0, now.Sub(f.confirmedAt))
}

// KnownEntries returns the number of known entries, this one included.
func (f *Freshness) KnownEntries() int { return len(f.peers) + 1 }

func (f *Freshness) recentlyConfirmed(now time.Time) bool {
	return f.confirmed && f.ConfirmationAge(now) <= f.opts.KeyFreshness
}

// Started reports whether the table, or enough peers with nothing newer, have been heard since the start.
func (f *Freshness) Started(now time.Time) bool {
	f.updateStarted(now)
	return f.started
}

// updateStarted accepts the configuration of peers only from as many of them as the rule for an outage of the table asks for.
func (f *Freshness) updateStarted(now time.Time) {
	if f.started || !f.confirmed {
		return
	}
	verdict := f.quorumVerdict(now)
	if verdict.Serve && verdict.RespondingPeers >= minStartPeers {
		f.started = true
	}
}

// Verdict returns whether keyed work may be served at now, and why.
func (f *Freshness) Verdict(now time.Time) Verdict {
	f.updateStarted(now)
	if !f.started {
		return Verdict{Reason: ReasonStarting, ConfirmationAge: f.ConfirmationAge(now), RespondingPeers: f.countResponding(now), KnownEntries: f.KnownEntries()}
	}
	if f.recentlyConfirmed(now) {
		return Verdict{Serve: true, Reason: ReasonConfirmed, ConfirmationAge: f.ConfirmationAge(now), KnownEntries: f.KnownEntries()}
	}
	return f.quorumVerdict(now)
}

// quorumVerdict is the rule for an old confirmation.
func (f *Freshness) quorumVerdict(now time.Time) Verdict {
	v := Verdict{ConfirmationAge: f.ConfirmationAge(now), RespondingPeers: f.countResponding(now), KnownEntries: f.KnownEntries()}
	if peer := f.peerAhead(); peer != "" {
		v.Reason, v.Detail = ReasonPeerAhead, peer
		return v
	}
	// This entry does not count as an answer: in a fleet cut into equal halves, neither half may rely on itself.
	if v.KnownEntries > 1 && 2*v.RespondingPeers < v.KnownEntries {
		v.Reason = ReasonTooFewPeers
		return v
	}
	if dataCentre := f.silentDataCentre(now); dataCentre != "" {
		v.Reason, v.Detail = ReasonDataCentreSilent, dataCentre
		return v
	}
	v.Serve, v.Reason = true, ReasonStoreDown
	return v
}

// isResponding reports whether the latest answer of an entry is recent. An entry that was never confirmed knows nothing.
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

// peerAhead names a peer whose configuration is newer. A confirmation that is newer alone was adopted by adopt.
func (f *Freshness) peerAhead() string {
	if f.maxPeerRevision > f.appliedRevision {
		return f.maxRevisionPeer
	}
	return ""
}

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
