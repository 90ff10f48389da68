package slopes

import (
	"math/rand"
	"runtime"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/prefixindex"
	"github.com/radishshelf/radishshelf/routing"
)

// measureRouting shows the parts of a decision. The sum of membership, candidates and route is what entry.Fleet does for
// each attempt under its lock.
func measureRouting(r *Report) error {
	r.heading("membership and routing: in memory, one policy, by upstreams")
	memory := newSeries("membership.memory", "upstreams", "B")
	beat := newSeries("membership.cpu_per_heartbeat", "upstreams", "us")
	list := newSeries("membership.cpu_per_list", "upstreams", "us")
	route := newSeries("routing.cpu_per_decision", "upstreams", "us")
	for _, size := range []int{10, 100, 340, 680} {
		before := heapBytes()
		m := membership.New(membership.Options{})
		now := time.Now()
		for i := range size {
			m.Heartbeat(reportOfUpstream(i, 8, "planner", 1), now)
		}
		memory.add(size, heapBytes()-before)
		report := reportOfUpstream(0, 8, "planner", 1)
		beat.add(size, costOfEach(20_000, func(i int) {
			report.ReportSeq = int64(i + 2)
			m.Heartbeat(report, now)
		}))
		list.add(size, costOfEach(2000, func(int) { m.Upstreams(now) }))
		route.add(size, costOfDecision(m.Upstreams(now), now))
		runtime.KeepAlive(m)
	}
	r.print(memory, beat, list, route)
	return nil
}

// costOfDecision routes requests with a long prompt, as entry.Fleet does it.
func costOfDecision(upstreams []membership.Upstream, now time.Time) float64 {
	config := routing.DefaultConfig()
	config.DataCentre, config.Region = place(0, 8)
	prefixes := prefixindex.New(prefixindex.DefaultConfig())
	inFlight := routing.NewInFlight()
	router := routing.New(config, prefixes, inFlight, rand.New(rand.NewSource(1)))
	prompt := make([]byte, 4096)
	return costOfEach(2000, func(i int) {
		candidates := make([]routing.Candidate, 0, len(upstreams))
		for _, u := range upstreams {
			candidates = append(candidates, routing.Candidate{
				Name: u.Name, DataCentre: u.DataCentre, Region: u.Region, Serves: u.Serves, Version: u.ActiveVersion,
				Alive: true, Healthy: true, ReportedAt: u.ReportedAt, Running: u.Load.Running,
				PendingTokens: u.Load.PendingTokens, TokensPerSecond: u.Load.TokensPerSecond,
			})
		}
		prompt[0] = byte(i)
		scope := prefixindex.Scope{Workspace: "w", Policy: "planner", Version: 1}
		prefix := prefixindex.Chain(scope, prompt, 256, 128)
		id := strconv.Itoa(i)
		decision, err := router.Route(routing.Request{
			ID: id, Serves: "planner", Prefix: prefix, CostTokens: 200, Bytes: 4096,
		}, candidates, now)
		if err != nil {
			return
		}
		inFlight.Sent(id, decision.Chosen.Name, 200, now)
		prefixes.Routed(decision.Chosen.Name, prefix, now)
		inFlight.Done(id)
	})
}
