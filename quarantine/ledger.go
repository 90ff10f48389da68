package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// LedgerConfig holds the limits of a Ledger.
type LedgerConfig struct {
	// ConfirmTimeout is how long a broken run waits for confirmation that its upstream has ended. Later ends are assumed to
	// have another cause.
	ConfirmTimeout time.Duration
	// EndRetention is how long an end is remembered for broken runs that are recorded after it.
	EndRetention time.Duration
	// RetryDelays holds, indexed by the level of a case, how long after its last change no run is allowed. A delay of 0 lets
	// the request run alone at once. A level without an entry allows no run while the case is remembered.
	RetryDelays []time.Duration
	// CaseRetention is how long a case is remembered after its last change, in addition to twice its retry delay.
	CaseRetention time.Duration
	// MaxCases limits the number of cases, and MaxBrokenRuns the number of broken runs that wait for confirmation.
	MaxCases, MaxBrokenRuns int
}

// DefaultLedgerConfig returns the values that gateways use.
func DefaultLedgerConfig() LedgerConfig {
	return LedgerConfig{
		ConfirmTimeout: 6 * time.Second, EndRetention: time.Minute, CaseRetention: 5 * time.Minute,
		MaxCases: 1024, MaxBrokenRuns: 1024,
		RetryDelays: []time.Duration{0, 0, 2 * time.Second, 30 * time.Second, 10 * time.Minute, time.Hour},
	}
}

// Ledger distinguishes requests that crash their upstreams from requests that merely ran beside them, for one of several
// processes that exchange their cases. It performs no I/O and is not safe for concurrent use.
//
// A broken run counts against its request once its upstream is known to have ended. A complete response clears the
// request. Retry delays and retention count on the local clock from the last change of a case that this process has seen.
type Ledger struct {
	cfg   LedgerConfig
	cases map[string]*trackedCase
	// brokenRuns holds the broken runs on upstreams that are not known to have ended, oldest first.
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
	brokenAt    time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{cfg: cfg, cases: map[string]*trackedCase{},
		brokenRuns: map[UpstreamIncarnation][]brokenRun{}, endedAt: map[UpstreamIncarnation]time.Time{}}
}

// RecordBrokenRun records a run that may have started and ended without a complete response. progress is how far the
// response text had come, 0 for a request whose response is not streamed. It reports whether the run counts against the
// request, which requires that its upstream is known to have ended.
func (l *Ledger) RecordBrokenRun(fingerprint string, incarnation UpstreamIncarnation, progress int, now time.Time) bool {
	run := brokenRun{fingerprint: fingerprint, progress: progress, brokenAt: now}
	if _, ended := l.endedAt[incarnation]; ended {
		counted := l.countEnd(run, incarnation, now)
		l.evict()
		return counted
	}
	if l.brokenRunCount < l.cfg.MaxBrokenRuns {
		l.brokenRuns[incarnation] = append(l.brokenRuns[incarnation], run)
		l.brokenRunCount++
	}
	return false
}

// RecordEnd records the end of an upstream. It returns the fingerprints against which the end counts, sorted, and whether
// the end was not known before.
func (l *Ledger) RecordEnd(incarnation UpstreamIncarnation, now time.Time) (counted []string, isNew bool) {
	if _, known := l.endedAt[incarnation]; known {
		return nil, false
	}
	l.endedAt[incarnation] = now
	for _, run := range l.brokenRuns[incarnation] {
		if now.Sub(run.brokenAt) <= l.cfg.ConfirmTimeout && l.countEnd(run, incarnation, now) {
			counted = append(counted, run.fingerprint)
		}
	}
	l.brokenRunCount -= len(l.brokenRuns[incarnation])
	delete(l.brokenRuns, incarnation)
	l.evict()
	slices.Sort(counted)
	return slices.Compact(counted), true
}

// countEnd adds an end to the case of a run and reports whether it counts. An end does not count for a run that came further
// than all earlier runs: what the runs have in common cannot have caused it.
func (l *Ledger) countEnd(run brokenRun, incarnation UpstreamIncarnation, now time.Time) bool {
	c := l.caseFor(run.fingerprint, now)
	further := run.progress > c.MaxProgress
	c.MaxProgress = max(c.MaxProgress, run.progress)
	if further || !c.add(incarnation) {
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

// RecordResponse records a complete response to a request. It removes the broken runs and the case of the request, and
// reports whether there was a case.
func (l *Ledger) RecordResponse(fingerprint string) bool {
	for incarnation, runs := range l.brokenRuns {
		remaining := slices.DeleteFunc(runs, func(r brokenRun) bool { return r.fingerprint == fingerprint })
		l.brokenRunCount -= len(runs) - len(remaining)
		if l.brokenRuns[incarnation] = remaining; len(remaining) == 0 {
			delete(l.brokenRuns, incarnation)
		}
	}
	return l.Drop(fingerprint)
}

// MayBeRefused reports whether a request would be refused if all upstreams of its broken runs had ended.
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

// Check returns how a request may run now.
func (l *Ledger) Check(fingerprint string, now time.Time) Decision {
	c, ok := l.cases[fingerprint]
	if !ok || c.level() == 0 || l.expired(c, now) {
		return Decision{Action: Run}
	}
	v := Decision{Action: Refuse, Deaths: len(c.Ends), Remaining: l.timeLeft(c, now)}
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

// Case returns a copy of the case of a request; false when there is none.
func (l *Ledger) Case(fingerprint string) (Case, bool) {
	c, ok := l.cases[fingerprint]
	if !ok {
		return Case{}, false
	}
	return c.Case.clone(), true
}

// Merge adds the case of another process. It reports whether this process has evidence that the other case lacks.
func (l *Ledger) Merge(fingerprint string, other Case, now time.Time) (hasMore bool) {
	c := l.caseFor(fingerprint, now)
	if c.merge(other) {
		c.changedAt = now
	}
	l.evict()
	return !c.Case.coveredBy(other)
}

// Drop removes a case that another process has closed. It reports whether there was one.
func (l *Ledger) Drop(fingerprint string) bool {
	_, ok := l.cases[fingerprint]
	delete(l.cases, fingerprint)
	return ok
}

// Len returns the number of cases.
func (l *Ledger) Len() int { return len(l.cases) }

// Idle reports whether there are no cases and no broken runs, so that a response cannot change anything.
func (l *Ledger) Idle() bool { return len(l.cases) == 0 && l.brokenRunCount == 0 }

// Expire removes expired ends, broken runs and cases. It returns the fingerprints of the removed cases, sorted.
func (l *Ledger) Expire(now time.Time) []string {
	maps.DeleteFunc(l.endedAt, func(_ UpstreamIncarnation, at time.Time) bool { return now.Sub(at) > l.cfg.EndRetention })
	maps.DeleteFunc(l.brokenRuns, func(_ UpstreamIncarnation, runs []brokenRun) bool {
		if now.Sub(runs[len(runs)-1].brokenAt) <= l.cfg.ConfirmTimeout {
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

// timeLeft returns the time until a case expires.
func (l *Ledger) timeLeft(c *trackedCase, now time.Time) time.Duration {
	delay := l.cfg.RetryDelays[min(c.level(), len(l.cfg.RetryDelays)-1)]
	return c.changedAt.Add(l.cfg.CaseRetention + 2*delay).Sub(now)
}

// evict removes cases beyond MaxCases, those with the lowest level first and the oldest first among equals.
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
