package upstreamlimit

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/upstreams"
)

const (
	simStep           = 50 * time.Millisecond
	simHeartbeat      = 750 * time.Millisecond
	simPeerTimeout    = 2500 * time.Millisecond
	simResponseTime   = 40 * time.Millisecond
	simMaxRowDelay    = 200 * time.Millisecond
	simContact        = 4 * time.Second
	simSpan           = 4 * time.Second
	simSeconds        = 25
	simRestartHeard   = 500 * time.Millisecond
	simLimitedService = "desk"
)

// simFleet is a fleet of hosts with one limited upstream, a store that passes heartbeats on, and the clock of all.
type simFleet struct {
	random   *rand.Rand
	now      time.Time
	upstream upstreams.Entry
	limit    float64
	cold     ColdBound
	hosts    []*simHost
	rows     []simRow
	// sends holds the time and the host of each request that reached the upstream.
	sends []simSend
}

type simRow struct {
	at        time.Time
	writtenAt time.Time
	heartbeat Heartbeat
	report    *Report
}

type simSend struct {
	at   time.Time
	host int
}

// simHost is one host: its table, its demand and what it knows of the others.
type simHost struct {
	fleet       *simFleet
	index       int
	name        string
	table       *Table
	incarnation int
	sequence    int64
	// seen holds when the last heartbeat of each other host arrived, and rowsSeen how many rows have arrived.
	seen     map[string]time.Time
	rowsSeen int
	// demand is in requests a second; backlog holds the requests that are due, waiting those of it that found no room.
	demand, backlog float64
	// cutUntil is until when the host neither writes nor reads heartbeats, and downUntil until when it does not run.
	cutUntil, downUntil time.Time
	// excusedUntil is until when its requests do not count.
	excusedUntil time.Time
	nextBeat     time.Time
	responses    []time.Time
	blind        bool
}

// Hosts returns the hosts whose heartbeats arrived lately. A cut host does not notice that they are missing.
func (h *simHost) Hosts() []string {
	var list []string
	for name, at := range h.seen {
		if h.blind || h.fleet.now.Sub(at) < simPeerTimeout {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

func (h *simHost) IsRegistered(upstreams.Incarnation) bool { return true }

func (h *simHost) ColdBound(string) ColdBound { return h.fleet.cold }

func (h *simHost) ReadyCount(string) int { return 1 }

func (h *simHost) start(now time.Time) {
	h.table, h.seen, h.rowsSeen = NewTable(h.name, h), map[string]time.Time{}, 0
	h.incarnation++
	h.sequence, h.nextBeat, h.responses = 0, now, nil
}

func newSimFleet(seed int64, hosts int, limit float64) *simFleet {
	f := &simFleet{random: rand.New(rand.NewSource(seed)), now: start, limit: limit, upstream: upstreams.Entry{ID: "u", Born: 1, Service: simLimitedService}}
	for i := range hosts {
		h := &simHost{fleet: f, index: i, name: fmt.Sprint("host-", i)}
		h.start(start)
		h.nextBeat = start.Add(f.upTo(simHeartbeat))
		f.hosts = append(f.hosts, h)
	}
	return f
}

// upTo returns a random time of at most d.
func (f *simFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int63n(int64(d) + 1))
}

// step advances the fleet by simStep. outage says that the store passes nothing on.
func (f *simFleet) step(outage bool) {
	f.now = f.now.Add(simStep)
	for _, h := range f.hosts {
		if f.now.Before(h.downUntil) {
			continue
		}
		if h.table == nil {
			h.start(f.now)
		}
		h.blind = outage || f.now.Before(h.cutUntil)
		if !h.blind {
			h.exchange()
		}
		h.hear()
		h.send()
	}
}

// exchange writes the host's heartbeat if it is due, and reads the others' that have arrived.
func (h *simHost) exchange() {
	f := h.fleet
	clock := f.now.Sub(start)
	if !f.now.Before(h.nextBeat) {
		h.sequence++
		h.nextBeat = f.now.Add(simHeartbeat)
		waiting := func(upstreams.Incarnation, string) float64 { return h.backlog * float64((h.index+1)%2) }
		f.rows = append(f.rows, simRow{
			at:        f.now.Add(f.upTo(simMaxRowDelay)),
			writtenAt: f.now,
			heartbeat: Heartbeat{Host: h.name, Incarnation: fmt.Sprint(h.incarnation), Sequence: h.sequence},
			report:    h.table.Report(waiting, clock, f.now),
		})
	}
	for ; h.rowsSeen < len(f.rows) && !f.rows[h.rowsSeen].at.After(f.now); h.rowsSeen++ {
		row := f.rows[h.rowsSeen]
		if row.heartbeat.Host == h.name {
			if row.heartbeat.Incarnation == fmt.Sprint(h.incarnation) {
				h.table.ObserveOwn(row.report, row.writtenAt, f.now)
			}
			continue
		}
		h.seen[row.heartbeat.Host] = f.now
		h.table.ObservePeer(row.heartbeat, row.report, clock, f.now)
	}
}

// hear processes the responses that have arrived.
func (h *simHost) hear() {
	for len(h.responses) > 0 && !h.responses[0].Add(simResponseTime).After(h.fleet.now) {
		h.table.Hear(h.fleet.upstream, h.fleet.limit, h.responses[0], h.fleet.now)
		h.responses = h.responses[1:]
	}
}

// send sends the requests that are due and allowed. Callers give up, so the backlog holds one second of demand at most.
func (h *simHost) send() {
	f := h.fleet
	due := h.demand * simStep.Seconds()
	h.table.Want(f.upstream, due, h.index%2 == 0, f.now)
	h.backlog = min(h.backlog+due, max(h.demand, 1))
	for h.backlog >= 1 && h.table.Allowed(f.upstream, f.now) > 0 {
		h.table.Sent(f.upstream, f.now)
		h.backlog--
		h.responses = append(h.responses, f.now)
		if f.now.After(h.excusedUntil) {
			f.sends = append(f.sends, simSend{f.now, h.index})
		}
	}
}

// sentIn returns the number of requests from the given time until before another.
func (f *simFleet) sentIn(from, until time.Time) int {
	n := 0
	for _, s := range f.sends {
		if !s.at.Before(from) && s.at.Before(until) {
			n++
		}
	}
	return n
}

// checkSpans fails the test if the upstream got more than one and a half times its limit and 5 requests in some span after
// from.
func (f *simFleet) checkSpans(t interface{ Errorf(string, ...any) }, from time.Time) {
	allowed := int(1.5*f.limit*simSpan.Seconds()) + 5
	first := 0
	for last, s := range f.sends {
		for f.sends[first].at.Before(from) || s.at.Sub(f.sends[first].at) >= simSpan {
			if first++; first > last {
				break
			}
		}
		if n := last - first + 1; n > allowed {
			t.Errorf("%d requests in the 4 s before %s, want at most %d at %v a second", n, s.at.Sub(start), allowed, f.limit)
			return
		}
	}
}

// Guards against hosts that together exceed a limit while their demand changes, and while hosts start, stop and lose sight
// of each other. The requests of a host that is cut off, or was just started, do not count.
func TestSumOverHostsStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{0.1, 0.25, 1, 3, 14, 60, 200}).Draw(t, "limit")
		f := newSimFleet(rapid.Int64().Draw(t, "seed"), rapid.IntRange(1, 30).Draw(t, "hosts"), limit)
		outageAt := start.Add(time.Duration(rapid.IntRange(5, 30).Draw(t, "outage")) * time.Second)
		for n := range int(simSeconds * time.Second / simStep) {
			if n%20 == 0 {
				f.disturb(t)
			}
			f.step(f.now.After(outageAt) && f.now.Before(outageAt.Add(5*time.Second)))
		}
		f.checkSpans(t, start.Add(simContact))
	})
}

// disturb changes the demand of a host, and stops or cuts off another one.
func (f *simFleet) disturb(t *rapid.T) {
	pick := func(label string) *simHost { return f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, label)] }
	pick("changed").demand = rapid.SampledFrom([]float64{0, 0.05, 0.5, 2, 5}).Draw(t, "demand") * f.limit
	h := pick("disturbed")
	pause := time.Duration(rapid.IntRange(200, 4000).Draw(t, "pause")) * time.Millisecond
	switch rapid.IntRange(0, 9).Draw(t, "disturbance") {
	case 0:
		h.table, h.downUntil = nil, f.now.Add(pause)
		h.excusedUntil = h.downUntil.Add(simRestartHeard)
	case 1:
		h.cutUntil = f.now.Add(pause)
		h.excusedUntil = h.cutUntil.Add(simContact)
	}
}

// Guards against shares that leave a limit unused while requests wait for it, with demand on few hosts, on many, and in
// turns.
func TestMostOfTheLimitIsUsed(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   float64
		hosts   int
		demands []float64
		// turn moves the demands on by one host each such time.
		turn time.Duration
	}{
		{"one host", 14, 7, []float64{30}, 0},
		{"three of seven hosts", 14, 7, []float64{30, 25, 15}, 0},
		{"all hosts", 14, 7, []float64{4, 4, 4, 4, 4, 4, 4}, 0},
		{"a small limit", 1, 7, []float64{2, 1, 1}, 0},
		{"less than one a second", 0.5, 3, []float64{2, 1}, 0},
		{"demand in turns", 14, 7, []float64{40}, 4 * time.Second},
		{"many hosts", 10, 88, []float64{10, 8, 8, 6, 6, 5, 5}, 0},
		{"many small demands", 20, 40, slices.Repeat([]float64{1}, 40), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range int64(3) {
				f := newSimFleet(seed, c.hosts, c.limit)
				for n := range int(simSeconds * time.Second / simStep) {
					shift := 0
					if c.turn > 0 {
						shift = int(time.Duration(n)*simStep/c.turn) % c.hosts
					}
					for i, h := range f.hosts {
						h.demand = 0
						if j := (i + shift) % c.hosts; j < len(c.demands) {
							h.demand = c.demands[j]
						}
					}
					f.step(false)
				}
				f.checkSpans(t, start.Add(simContact))
				from, until := start.Add(simContact), f.now
				used := float64(f.sentIn(from, until)) / (c.limit * until.Sub(from).Seconds())
				if used < 0.7 {
					t.Errorf("seed %d: %.2f of the limit was used while requests waited, want at least 0.7", seed, used)
				}
				t.Logf("%.2f of the limit was used", used)
			}
		})
	}
}
