package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// LedgerConfig bounds a Ledger.
type LedgerConfig struct {
	// ConfirmTimeout is how long a broken run waits for word that its upstream has ended. Later ends have another cause.
	ConfirmTimeout time.Duration
	// EndRetention is how long an end is remembered for runs that have not broken off yet.
	EndRetention time.Duration
	// RetryDelays holds, by the level of a case, how long no run follows the last change. A level without an entry allows no run
	// while the case is remembered.
	RetryDelays []time.Duration
	// CaseRetention is how long a case is remembered after its last change, in addition to twice its pause.
	CaseRetention time.Duration
	// MaxCases bounds the cases, and MaxBrokenRuns the broken runs that wait for word.
	MaxCases, MaxBrokenRuns int
}

// DefaultLedgerConfig returns the values that gateways use.
func DefaultLedgerConfig() LedgerConfig {
	return LedgerConfig{
		ConfirmTimeout: 6 * time.Second, EndRetention: time.Minute, CaseRetention: 5 * time.Minute, MaxCases: 1024, MaxBrokenRuns: 1024,
		RetryDelays: []time.Duration{0, 0, 2 * time.Second, 30 * time.Second, 10 * time.Minute, time.Hour},
	}
}

// Ledger tells requests that end their upstreams from requests that ran beside them, for one process of several that
// exchange their cases. It is pure and not safe for concurrent use.
//
// A run that broke off counts against its request once its upstream is known to have ended. A whole answer clears the
// request. Times are readings of the own clock since the last change that this process has heard of.
type Ledger struct {
	cfg   LedgerConfig
	cases map[string]*trackedCase
	// brokenRuns holds the broken brokenRuns at upstreams that are not known to have ended.
	brokenRuns     map[UpstreamIncarnation][]brokenRun
	brokenRunCount int
	endedAt        map[UpstreamIncarnation]time.Time
}

type trackedCase struct {
	Case
	changedAt time.Time
}

type brokenRun struct {
	fingerprint string
	progress    int
	at          time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{cfg: cfg, cases: map[string]*trackedCase{}, brokenRuns: map[UpstreamIncarnation][]brokenRun{}, endedAt: map[UpstreamIncarnation]time.Time{}}
}

// RecordBrokenRun takes a run that ended without a whole answer and may have begun. progress is how far the text of the request had
// come, 0 for a request that is answered at once. It reports whether the upstream is known to have ended and counts.
func (l *Ledger) RecordBrokenRun(fingerprint string, at UpstreamIncarnation, progress int, now time.Time) bool {
	run := brokenRun{fingerprint: fingerprint, progress: progress, at: now}
	if _, ended := l.endedAt[at]; ended {
		return l.countEnd(run, at, now)
	}
	if l.brokenRunCount < l.cfg.MaxBrokenRuns {
		l.brokenRuns[at] = append(l.brokenRuns[at], run)
		l.brokenRunCount++
	}
	return false
}

// RecordEnd takes the end of an upstream. It returns the fingerprints against which the end counts, in order, and whether
// the end is news.
func (l *Ledger) RecordEnd(at UpstreamIncarnation, now time.Time) (counted []string, isNew bool) {
	if _, known := l.endedAt[at]; known {
		return nil, false
	}
	l.endedAt[at] = now
	for _, run := range l.brokenRuns[at] {
		if now.Sub(run.at) <= l.cfg.ConfirmTimeout && l.countEnd(run, at, now) {
			counted = append(counted, run.fingerprint)
		}
	}
	l.brokenRunCount -= len(l.brokenRuns[at])
	delete(l.brokenRuns, at)
	l.evict()
	slices.Sort(counted)
	return slices.Compact(counted), true
}

// countEnd adds an end to the case of a run. A run that came further than all before it did not end its upstream by what the
// earlier runs had in common with it.
func (l *Ledger) countEnd(run brokenRun, at UpstreamIncarnation, now time.Time) bool {
	c := l.caseFor(run.fingerprint, now)
	further := run.progress > c.MaxProgress
	c.MaxProgress = max(c.MaxProgress, run.progress)
	if further || !c.add(at) {
		return false
	}
	c.changedAt = now
	return true
}

func (l *Ledger) caseFor(fingerprint string, now time.Time) *trackedCase {
	c, ok := l.cases[fingerprint]
	if !ok {
		c = &trackedCase{changedAt: now}
		l.cases[fingerprint] = c
	}
	return c
}

// RecordResponse takes a whole answer to a request. It reports whether there was a case, which is closed.
func (l *Ledger) RecordResponse(fingerprint string) bool {
	for at, runs := range l.brokenRuns {
		remaining := slices.DeleteFunc(runs, func(r brokenRun) bool { return r.fingerprint == fingerprint })
		l.brokenRunCount -= len(runs) - len(remaining)
		if l.brokenRuns[at] = remaining; len(remaining) == 0 {
			delete(l.brokenRuns, at)
		}
	}
	return l.Drop(fingerprint)
}

// MayBeRefused reports whether a request would have to pause if all upstreams of its broken runs had ended.
func (l *Ledger) MayBeRefused(fingerprint string) bool {
	level := 0
	if c, ok := l.cases[fingerprint]; ok {
		level = c.level()
	}
	for _, runs := range l.brokenRuns {
		if slices.ContainsFunc(runs, func(r brokenRun) bool { return r.fingerprint == fingerprint }) {
			level++
		}
	}
	return level >= len(l.cfg.RetryDelays) || l.cfg.RetryDelays[level] > 0
}

// Check says how a request may run now.
func (l *Ledger) Check(fingerprint string, now time.Time) Verdict {
	c, ok := l.cases[fingerprint]
	if !ok || c.level() == 0 || l.expired(c, now) {
		return Verdict{Action: Run}
	}
	v := Verdict{Action: Refuse, Deaths: len(c.Ends), Remaining: l.timeLeft(c, now)}
	switch level := c.level(); {
	case level >= len(l.cfg.RetryDelays):
	case l.cfg.RetryDelays[level] == 0:
		v.Action = RunAlone
	default:
		if v.Remaining = c.changedAt.Add(l.cfg.RetryDelays[level]).Sub(now); v.Remaining <= 0 {
			v.Action, v.Remaining = Probe, 0
		}
	}
	return v
}

// Case returns what is known against a request.
func (l *Ledger) Case(fingerprint string) (Case, bool) {
	c, ok := l.cases[fingerprint]
	if !ok {
		return Case{}, false
	}
	return c.Case.clone(), true
}

// Merge merges what another process knows. It reports whether this process knows more than that.
func (l *Ledger) Merge(fingerprint string, other Case, now time.Time) (more bool) {
	c := l.caseFor(fingerprint, now)
	if c.merge(other) {
		c.changedAt = now
	}
	l.evict()
	return !c.Case.coveredBy(other)
}

// Drop forgets a case that another process has closed. It reports whether there was one.
func (l *Ledger) Drop(fingerprint string) bool {
	_, ok := l.cases[fingerprint]
	delete(l.cases, fingerprint)
	return ok
}

// Len returns the number of cases, and Idle reports that no answer can change anything.
func (l *Ledger) Len() int { return len(l.cases) }

// Idle reports whether nothing is known against any request.
func (l *Ledger) Idle() bool { return len(l.cases) == 0 && l.brokenRunCount == 0 }

// Expire forgets what is too old and returns the fingerprints of forgotten cases, in order.
func (l *Ledger) Expire(now time.Time) []string {
	maps.DeleteFunc(l.endedAt, func(_ UpstreamIncarnation, at time.Time) bool { return now.Sub(at) > l.cfg.EndRetention })
	maps.DeleteFunc(l.brokenRuns, func(_ UpstreamIncarnation, runs []brokenRun) bool {
		if now.Sub(runs[len(runs)-1].at) <= l.cfg.ConfirmTimeout {
			return false
		}
		l.brokenRunCount -= len(runs)
		return true
	})
	var forgotten []string
	for fingerprint, c := range l.cases {
		if l.expired(c, now) {
			forgotten = append(forgotten, fingerprint)
			delete(l.cases, fingerprint)
		}
	}
	slices.Sort(forgotten)
	return forgotten
}

func (l *Ledger) expired(c *trackedCase, now time.Time) bool { return l.timeLeft(c, now) <= 0 }

// timeLeft returns the time until a case is forgotten.
func (l *Ledger) timeLeft(c *trackedCase, now time.Time) time.Duration {
	pause := l.cfg.RetryDelays[min(c.level(), len(l.cfg.RetryDelays)-1)]
	return c.changedAt.Add(l.cfg.CaseRetention + 2*pause).Sub(now)
}

// evict drops the oldest of the least dangerous cases beyond the limit.
func (l *Ledger) evict() {
	if len(l.cases) <= l.cfg.MaxCases {
		return
	}
	order := slices.SortedFunc(maps.Keys(l.cases), func(a, b string) int {
		x, y := l.cases[a], l.cases[b]
		return cmp.Or(cmp.Compare(x.level(), y.level()), x.changedAt.Compare(y.changedAt), cmp.Compare(a, b))
	})
	for _, fingerprint := range order[:len(order)-l.cfg.MaxCases] {
		delete(l.cases, fingerprint)
	}
}
