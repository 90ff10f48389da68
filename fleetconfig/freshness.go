package fleetconfig

import (
	"maps"
	"slices"
	"time"
)

// knownEntry is what the rule knows of another entry.
type knownEntry struct {
	dataCentre string
	heardAt    time.Time // latest sign of life, direct or reported
	answered   bool
	answer     PeerResponse // latest direct answer
}

// Freshness decides whether keyed work may be served with the configuration at hand.
//
// Invariant: a verdict to serve means that no change was accepted more than KeyFreshness plus AnswerWindow ago that
// this entry has not applied, or that the table was reachable for none of half of the entries and of at least one in
// each data centre.
type Freshness struct {
	opts        FreshnessOptions
	confirmedAt time.Time
	confirmed   bool
	applied     int64
	started     bool
	known       map[string]*knownEntry
	window      time.Duration
	// newest is the highest revision that any peer reported, and newestFrom that peer. It outlives the peer, because
	// a change that was accepted once stays accepted.
	newest     int64
	newestFrom string
}

// NewFreshness returns the rule of an entry that just started and has heard nothing.
func NewFreshness(opts FreshnessOptions) *Freshness {
	opts = opts.withDefaults()
	return &Freshness{opts: opts, known: make(map[string]*knownEntry), window: opts.ResponseWindow}
}

// SetResponseWindow widens the time for which an answer counts, for fleets too large to ask every entry each second.
func (f *Freshness) SetResponseWindow(window time.Duration) {
	f.window = max(window, f.opts.ResponseWindow)
}

// ResponseWindow returns how long an answer counts.
func (f *Freshness) ResponseWindow() time.Duration { return f.window }

// ObserveEntry records that an entry exists and was alive at now.
func (f *Freshness) ObserveEntry(name, dataCentre string, now time.Time) {
	if name == f.opts.Self || name == "" {
		return
	}
	entry, ok := f.known[name]
	if !ok {
		entry = &knownEntry{}
		f.known[name] = entry
	}
	if dataCentre != "" {
		entry.dataCentre = dataCentre
	}
	if now.After(entry.heardAt) {
		entry.heardAt = now
	}
}

// ObserveRevision records that an entry was heard of to have a configuration complete up to revision.
func (f *Freshness) ObserveRevision(name string, revision int64) {
	if revision > f.newest {
		f.newest, f.newestFrom = revision, name
	}
}

// RemoveEntry drops an entry that left in an orderly way or turned out to have another name.
func (f *Freshness) RemoveEntry(name string) { delete(f.known, name) }

// Expire drops entries that were silent for ForgetAfter. It does nothing while the table does not confirm: a cut-off
// entry must not shrink the fleet to itself and serve on. It returns the names dropped.
func (f *Freshness) Expire(now time.Time) []string {
	if !f.fresh(now) {
		return nil
	}
	var dropped []string
	for name, entry := range f.known {
		if now.Sub(entry.heardAt) > f.opts.EntryTimeout {
			dropped = append(dropped, name)
			delete(f.known, name)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// RecordApplied records the revision up to which the configuration of this entry is complete.
func (f *Freshness) RecordApplied(through int64) {
	f.applied = max(f.applied, through)
	for _, name := range slices.Sorted(maps.Keys(f.known)) {
		f.adopt(f.known[name])
	}
}

// RecordConfirmation records that the table confirmed the applied configuration by a read sent at sentAt.
func (f *Freshness) RecordConfirmation(sentAt time.Time) {
	f.started = true
	f.confirm(sentAt)
}

func (f *Freshness) confirm(at time.Time) {
	if !f.confirmed || at.After(f.confirmedAt) {
		f.confirmed = true
		f.confirmedAt = at
	}
}

// RecordResponse records the answer of a peer. Its confirmation counts here as soon as its revision is applied.
func (f *Freshness) RecordResponse(a PeerResponse) {
	f.ObserveEntry(a.Name, a.DataCentre, a.SentAt)
	f.ObserveRevision(a.Name, a.Revision)
	entry, ok := f.known[a.Name]
	if !ok || (entry.answered && a.SentAt.Before(entry.answer.SentAt)) {
		return
	}
	entry.answered = true
	entry.answer = a
	f.adopt(entry)
}

func (f *Freshness) adopt(entry *knownEntry) {
	if entry.answered && entry.answer.ConfirmationAge >= 0 && entry.answer.Revision <= f.applied {
		f.confirm(entry.answer.confirmedAt())
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
func (f *Freshness) KnownEntries() int { return len(f.known) + 1 }

func (f *Freshness) fresh(now time.Time) bool {
	return f.confirmed && f.ConfirmationAge(now) <= f.opts.KeyFreshness
}

// Started reports whether the table, or enough peers with nothing newer, have been heard since the start.
func (f *Freshness) Started(now time.Time) bool {
	f.start(now)
	return f.started
}

// start accepts the configuration of peers only from as many of them as the rule for an outage of the table asks for.
func (f *Freshness) start(now time.Time) {
	if f.started || !f.confirmed {
		return
	}
	verdict := f.quorum(now)
	if verdict.Serve && verdict.RespondingPeers >= minStartPeers {
		f.started = true
	}
}

// Verdict returns whether keyed work may be served at now, and why.
func (f *Freshness) Verdict(now time.Time) Verdict {
	f.start(now)
	if !f.started {
		return Verdict{Reason: ReasonStarting, ConfirmationAge: f.ConfirmationAge(now), RespondingPeers: f.answeredBy(now), KnownEntries: f.KnownEntries()}
	}
	if f.fresh(now) {
		return Verdict{Serve: true, Reason: ReasonConfirmed, ConfirmationAge: f.ConfirmationAge(now), KnownEntries: f.KnownEntries()}
	}
	return f.quorum(now)
}

// quorum is the rule for an old confirmation.
func (f *Freshness) quorum(now time.Time) Verdict {
	v := Verdict{ConfirmationAge: f.ConfirmationAge(now), RespondingPeers: f.answeredBy(now), KnownEntries: f.KnownEntries()}
	if ahead := f.peerAhead(); ahead != "" {
		v.Reason, v.Detail = ReasonPeerAhead, ahead
		return v
	}
	// This entry does not count as an answer: in a fleet cut into equal halves, neither half may rely on itself.
	if v.KnownEntries > 1 && 2*v.RespondingPeers < v.KnownEntries {
		v.Reason = ReasonTooFewPeers
		return v
	}
	if silent := f.silentDataCentre(now); silent != "" {
		v.Reason, v.Detail = ReasonDataCentreSilent, silent
		return v
	}
	v.Serve, v.Reason = true, ReasonStoreDown
	return v
}

// counts reports whether the latest answer of an entry is recent. An entry that was never confirmed knows nothing.
func (f *Freshness) counts(entry *knownEntry, now time.Time) bool {
	return entry.answered && entry.answer.ConfirmationAge >= 0 && now.Sub(entry.answer.SentAt) <= f.window
}

func (f *Freshness) answeredBy(now time.Time) int {
	answered := 0
	for _, entry := range f.known {
		if f.counts(entry, now) {
			answered++
		}
	}
	return answered
}

// peerAhead names a peer whose configuration is newer. A confirmation that is newer alone was adopted by adopt.
func (f *Freshness) peerAhead() string {
	if f.newest > f.applied {
		return f.newestFrom
	}
	return ""
}

func (f *Freshness) silentDataCentre(now time.Time) string {
	heard := map[string]bool{f.opts.DataCentre: true, "": true}
	for _, entry := range f.known {
		if f.counts(entry, now) {
			heard[entry.dataCentre] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.known)) {
		if dc := f.known[name].dataCentre; !heard[dc] {
			return dc
		}
	}
	return ""
}
