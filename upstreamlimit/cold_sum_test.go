package upstreamlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/upstreams"
)

// coldFleet is a fleet with one upstream that goes down and comes back cold under its former ID.
type coldFleet struct {
	*simFleet
	hosts []*coldHost
	// downFrom and backAt are when the upstream went down and came back last, and entryAt is when its entry was written.
	downFrom, backAt time.Time
	// entry is what the upstream wrote last.
	entry upstreams.Entry
	// coldSends holds the requests that reached the upstream while it was cold.
	coldSends []time.Time
}

// coldHost is a host that knows one entry of the upstream.
type coldHost struct {
	*simHost
	known  upstreams.Entry
	seenAt time.Time // when the host sees the current entry, if it can read
	// frozenUntil is until when the host stands still.
	frozenUntil time.Time
	due         float64
	// failedAt is when the host last found the upstream down.
	failedAt time.Time
}

func newColdFleet(seed int64, hosts int, bound ColdBound) *coldFleet {
	f := &coldFleet{simFleet: newSimFleet(seed, hosts, bound.PerSecond)}
	f.cold = bound
	f.entry = upstreams.Entry{ID: "u", Born: 1, Service: simLimitedService}
	for _, h := range f.simFleet.hosts {
		f.hosts = append(f.hosts, &coldHost{simHost: h, known: f.entry})
	}
	return f
}

// goDown ends the upstream, which comes back after a time.
func (f *coldFleet) goDown(d time.Duration) {
	f.downFrom, f.backAt = f.now, f.now.Add(d)
	f.entry.Born++
	f.entry.ColdFor = f.cold.Lasts
	for _, h := range f.hosts {
		h.seenAt = f.backAt.Add(f.upTo(simMaxRowDelay))
	}
}

func (f *coldFleet) isDown() bool { return !f.now.Before(f.downFrom) && f.now.Before(f.backAt) }

func (f *coldFleet) isCold() bool {
	return !f.now.Before(f.backAt) && f.now.Before(f.backAt.Add(f.cold.Lasts)) && f.entry.Born > 1
}

// stepCold advances the fleet by simStep. outage says that the store passes nothing on.
func (f *coldFleet) stepCold(outage bool) {
	f.now = f.now.Add(simStep)
	for _, h := range f.hosts {
		if f.now.Before(h.downUntil) || f.now.Before(h.frozenUntil) {
			continue
		}
		if h.table == nil {
			h.start(f.now)
			h.known = upstreams.Entry{}
		}
		h.blind = outage || f.now.Before(h.cutUntil)
		if !h.blind {
			h.exchange()
			h.readEntry(f)
		}
		h.sendCold(f)
	}
}

// readEntry takes over the entry of the upstream once it has arrived.
func (h *coldHost) readEntry(f *coldFleet) {
	if h.known.Born == f.entry.Born || f.now.Before(h.seenAt) {
		return
	}
	h.known = f.entry
	left := f.cold.Lasts // as of the writing of the entry
	if f.now.After(f.backAt.Add(left)) {
		left = 0 // a later entry
	}
	h.table.ObserveCold(h.known, left, f.now)
}

// sendCold sends the requests that are due and allowed.
func (h *coldHost) sendCold(f *coldFleet) {
	for h.due += h.demand * simStep.Seconds(); h.due >= 1; h.due-- {
		h.table.WantService(simLimitedService, h.index%2 == 1, f.now)
		h.backlog = min(h.backlog+1, max(h.demand, 1))
	}
	if h.known.Born == 0 {
		return
	}
	for h.backlog >= 1 && h.table.Allowed(h.known, f.now) > 0 {
		h.table.Sent(h.known, f.now)
		h.backlog--
		switch {
		case f.isDown():
			h.failedAt = f.now
			h.table.ObserveUnreachable(h.known, f.now)
			return
		case f.isCold() && !h.cannotKnow(f):
			f.coldSends = append(f.coldSends, f.now)
			h.table.ObserveResponse(h.known, f.now)
		default:
			h.table.ObserveResponse(h.known, f.now)
		}
	}
}

// cannotKnow reports whether a host has had no way to know that the upstream is cold: it has sent it nothing while it was
// down, nobody has told it, and the new entry has not arrived.
func (h *coldHost) cannotKnow(f *coldFleet) bool {
	return h.known.Born != f.entry.Born && h.failedAt.Before(f.downFrom) && !h.table.Limited(h.known, f.now)
}

// checkSeconds fails the test if the upstream got more requests in a second than it tolerates while it was cold.
func (f *coldFleet) checkSeconds(t interface{ Errorf(string, ...any) }) {
	first := 0
	for last, at := range f.coldSends {
		for at.Sub(f.coldSends[first]) >= coldSpan {
			first++
		}
		if n := last - first + 1; float64(n) > f.cold.tolerated() {
			t.Errorf("%d requests in the second before %s, want at most %.1f", n, at.Sub(start), f.cold.tolerated())
			return
		}
	}
}

// drawDisturbance changes the demand of hosts, and stops, freezes or cuts off others.
func (f *coldFleet) drawDisturbance(t *rapid.T) {
	pick := func(label string) *coldHost { return f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, label)] }
	for range 1 + len(f.hosts)/10 {
		pick("changed").demand = rapid.SampledFrom([]float64{0.05, 0.5, 2, 10, 40}).Draw(t, "demand")
	}
	pause := time.Duration(rapid.IntRange(200, 5000).Draw(t, "pause")) * time.Millisecond
	until := f.now.Add(pause)
	switch rapid.IntRange(0, 12).Draw(t, "disturbance") {
	case 0:
		h := pick("stopped")
		h.table, h.downUntil = nil, until
	case 1:
		pick("cut").cutUntil = until
	case 2:
		for range 1 + len(f.hosts)/10 {
			pick("frozen").frozenUntil = until
		}
	case 3: // all hosts restart at once
		for _, h := range f.hosts {
			h.table, h.downUntil = nil, f.now.Add(f.upTo(300*time.Millisecond))
		}
	case 4, 5, 6:
		if f.now.After(f.backAt.Add(f.cold.Lasts + time.Second)) {
			f.goDown(time.Duration(rapid.IntRange(200, 4000).Draw(t, "down")) * time.Millisecond)
		}
	}
}

// Guards against hosts that together send a cold upstream more than it takes in a second: from its return on, also while
// hosts have not seen that it returned, restart, stand still, and lose sight of each other or of the store.
func TestSumOverHostsStaysWithinTheBoundOfAColdUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.SampledFrom([]ColdBound{
			{PerSecond: 8.6, Lasts: 3 * time.Second, Overrun: 1.5, Slack: 5},
			{PerSecond: 8.6, Lasts: 3 * time.Second},
			{PerSecond: 2, Lasts: 10 * time.Second, Overrun: 1.2, Slack: 2},
			{PerSecond: 20, Lasts: 8 * time.Second, Overrun: 1.5, Slack: 5},
		}).Draw(t, "bound")
		f := newColdFleet(rapid.Int64().Draw(t, "seed"), rapid.SampledFrom([]int{2, 3, 7, 16, 31}).Draw(t, "hosts"), bound)
		for _, h := range f.hosts {
			h.demand = 0.5
		}
		outageAt := start.Add(time.Duration(rapid.IntRange(5, 30).Draw(t, "outage")) * time.Second)
		for n := range int(simSeconds * time.Second / simStep) {
			if n > 100 && n%10 == 0 {
				f.drawDisturbance(t)
			}
			f.stepCold(f.now.After(outageAt) && f.now.Before(outageAt.Add(4*time.Second)))
		}
		f.checkSeconds(t)
	})
}

// Guards against a large fleet whose hosts exceed the bound of a cold upstream because each keeps a request, and against one
// of which none may send.
func TestManyHostsShareAColdUpstream(t *testing.T) {
	bound := ColdBound{PerSecond: 8.6, Lasts: 3 * time.Second, Overrun: 1.5, Slack: 5}
	for _, c := range []struct {
		hosts   int
		demands []float64
		used    float64
	}{
		{300, []float64{30, 20, 10, 5}, 0.5},
		{31, []float64{30, 20, 10, 5}, 0.5},
		{7, []float64{10, 10, 10, 10, 10, 10, 10}, 0.6},
		{2, []float64{20}, 0.6},
	} {
		f := newColdFleet(1, c.hosts, bound)
		for i, demand := range c.demands {
			f.hosts[i].demand = demand
		}
		const returns = 3
		for n := range int((5 + returns*8) * time.Second / simStep) {
			if at := n - int(5*time.Second/simStep); at >= 0 && at%int(8*time.Second/simStep) == 0 {
				f.goDown(1500 * time.Millisecond)
			}
			f.stepCold(false)
		}
		f.checkSeconds(t)
		used := float64(len(f.coldSends)) / (returns * bound.PerSecond * bound.Lasts.Seconds())
		if used < c.used {
			t.Errorf("%d hosts used %.2f of the bound while requests waited, want at least %.1f", c.hosts, used, c.used)
		}
		t.Logf("%d hosts used %.2f of the bound", c.hosts, used)
	}
}
