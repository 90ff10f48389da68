package peer

import (
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/quarantine"
)

const (
	designEntries     = 350
	designUpstreams   = 680
	designDataCentres = 8
	// maxBytesPerSecond limits the report traffic of one entry, sent plus received.
	maxBytesPerSecond = 12_000
	// maxJoinSeconds is the time by which a new entry should know all upstreams and route as well as the others. It is the
	// time in which an accepted configuration takes effect everywhere at the design size.
	maxJoinSeconds = 16
)

// runUntil runs the fleet until all entries satisfy done, and returns the number of seconds that it took.
func (f *simulatedFleet) runUntil(t *testing.T, what string, limit int, done func(e *simulatedEntry) bool) int {
	t.Helper()
	for s := range limit + 1 {
		missing := 0
		for _, e := range f.entries {
			if !done(e) {
				missing++
			}
		}
		if missing == 0 {
			t.Logf("%s: reached every entry after %d s", what, s)
			return s
		}
		if s < limit {
			f.runSecond()
		} else {
			t.Fatalf("%s: has not reached %d of %d entries after %d s", what, missing, len(f.entries), limit)
		}
	}
	return limit
}

// checkSteadyState runs the fleet for the given time and checks the traffic and the fleet views of all entries.
func (f *simulatedFleet) checkSteadyState(t *testing.T, seconds int) {
	t.Helper()
	for _, e := range f.entries {
		e.bytes, e.reports = 0, 0
	}
	var worst time.Duration
	var suspect, dead, samples int
	for range seconds {
		f.runSecond()
	}
	ages := 0.0
	for _, e := range f.entries {
		for _, u := range e.fleet.Upstreams(f.now) {
			samples++
			age := f.now.Sub(u.ReportedAt)
			ages += age.Seconds()
			worst = max(worst, age)
			if u.Status == membership.Suspect {
				suspect++
			}
			if u.Status == membership.Dead {
				dead++
			}
		}
	}
	var most, total, reports int64
	for _, e := range f.entries {
		most = max(most, e.bytes)
		total += e.bytes
		reports += e.reports
	}
	n := int64(len(f.entries) * seconds)
	t.Logf("bytes/s mean %d, highest entry %d; %d reports/s received; age mean %.1f s, highest %v; %d views, %d suspect, %d dead",
		total/n, most/int64(seconds), reports/n, ages/float64(samples), worst, samples, suspect, dead)
	if most/int64(seconds) > maxBytesPerSecond {
		t.Errorf("an entry sent and received %d B/s, limit %d", most/int64(seconds), maxBytesPerSecond)
	}
	if dead > 0 || samples != len(f.entries)*len(f.agents) {
		t.Errorf("%d running upstreams are marked dead, entries know %d upstreams in total, want %d", dead, samples, len(f.entries)*len(f.agents))
	}
}

func findUpstream(e *simulatedEntry, name string, now time.Time) (membership.Upstream, bool) {
	for _, u := range e.fleet.Upstreams(now) {
		if u.Name == name {
			return u, true
		}
	}
	return membership.Upstream{}, false
}

// Guards against report traffic that exceeds the limit in a large fleet, and against fleet views that are incomplete,
// mark running upstreams as dead or receive changes late.
func TestControlTrafficAtDesignSize(t *testing.T) {
	f := newSimulatedFleet(designEntries, designUpstreams, designDataCentres)
	f.seedReports()
	for range 12 {
		f.runSecond()
	}
	f.checkChanges(t, 5, 5)
	f.checkSteadyState(t, 20)
	for _, a := range f.agents {
		a.report.ActiveVersion++
	}
	f.agents[9].report.Leaving = true
	f.runUntil(t, "leaving while all versions change", 5, func(e *simulatedEntry) bool {
		u, _ := findUpstream(e, f.agents[9].report.GetUpstream(), f.now)
		return u.Leaving
	})
	f.checkJoin(t)
}

// checkJoin checks that an entry started in a running fleet knows all upstreams within maxJoinSeconds.
func (f *simulatedFleet) checkJoin(t *testing.T) {
	t.Helper()
	f.addEntry(designEntries, designDataCentres)
	e := f.entries[designEntries]
	e.participant.SetExpectedUpstreams(func() []string {
		var names []string
		for _, a := range f.agents {
			names = append(names, a.report.GetUpstream())
		}
		return names
	})
	for s := 1; s <= maxJoinSeconds; s++ {
		f.runSecond()
		known := len(e.fleet.Upstreams(f.now))
		if s%5 == 0 {
			t.Logf("a new entry knows %d of %d upstreams after %d s", known, len(f.agents), s)
		}
		if known == len(f.agents) {
			t.Logf("a new entry knows all upstreams after %d s", s)
			return
		}
	}
	t.Errorf("a new entry knows only %d of %d upstreams after %d s", len(e.fleet.Upstreams(f.now)), len(f.agents), maxJoinSeconds)
}

// checkChanges checks that each kind of change reaches every entry within the given number of seconds.
func (f *simulatedFleet) checkChanges(t *testing.T, within, quarantined int) {
	t.Helper()
	leaving := f.agents[3]
	leaving.report.Leaving = true
	f.runUntil(t, "leaving", within, func(e *simulatedEntry) bool {
		u, _ := findUpstream(e, leaving.report.GetUpstream(), f.now)
		return u.Leaving
	})
	f.addAgent(len(f.agents), designDataCentres)
	added := f.agents[len(f.agents)-1].report.GetUpstream()
	f.runUntil(t, "new upstream", within, func(e *simulatedEntry) bool {
		_, ok := findUpstream(e, added, f.now)
		return ok
	})
	restarted := f.agents[5]
	restarted.report.Incarnation = "c4d1a1de-7a4b-4c51-9d3e-000000000005"
	restarted.report.ReportSeq = 0
	f.runUntil(t, "new incarnation", within, func(e *simulatedEntry) bool {
		u, _ := findUpstream(e, restarted.report.GetUpstream(), f.now)
		return u.Incarnation == restarted.report.GetIncarnation()
	})
	fingerprint := "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	f.entries[0].fleet.MergeSuspects([]quarantine.Suspect{
		{Fingerprint: fingerprint, Deaths: 2, Remaining: time.Minute},
	}, f.now)
	f.runUntil(t, "quarantined fingerprint", quarantined, func(e *simulatedEntry) bool {
		return len(e.fleet.Suspects(f.now)) == 1
	})
}

// Guards against slow propagation in a small fleet because of limits that are designed for a large one.
func TestControlTrafficOfSmallFleet(t *testing.T) {
	f := newSimulatedFleet(4, 24, 3)
	f.runUntil(t, "complete fleet view after a start of the whole fleet", 1, func(e *simulatedEntry) bool {
		return len(e.fleet.Upstreams(f.now)) == 24
	})
	f.checkSteadyState(t, 30)
	f.checkChanges(t, 1, 1)
	f.checkSteadyState(t, 30)
}
