package measure

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/routing"
)

// Length and load of the routing scenario. At 0.7 of the decoding capacity, Hraunvegur's busiest region is overloaded,
// so that some of its traffic must be routed to other regions.
const (
	routingLength = 10 * time.Minute
	routingWarmUp = time.Minute
	routingLoad   = 0.7
	shareWindow   = 10 * time.Second
)

// RoutingScenario compares the router with the choice of the engine with the fewest outstanding requests.
func RoutingScenario() Scenario {
	return Scenario{
		Name:     "(a) routing with load reports 1-3 s late, a tenth lost",
		Baseline: "least outstanding requests (reported plus those sent since)",
		Run: func(u User, seed int64) []Figure {
			policy := runRouting(u, seed, routingStrategy{choose: chooseByRouter})
			baseline := runRouting(u, seed, routingStrategy{choose: chooseLeastOutstanding, countRequests: true})
			return []Figure{
				{"latency p50", "s", LowerIsBetter, quantile(policy.latencies, 0.5), quantile(baseline.latencies, 0.5)},
				{"latency p95", "s", LowerIsBetter, quantile(policy.latencies, 0.95), quantile(baseline.latencies, 0.95)},
				{"latency p99", "s", LowerIsBetter, quantile(policy.latencies, 0.99), quantile(baseline.latencies, 0.99)},
				{"prefix hit share", "of prompt tokens", HigherIsBetter, policy.hitRate(), baseline.hitRate()},
				{"cross-region volume", "MB/1000 requests", LowerIsBetter, policy.crossRegionPerThousand(), baseline.crossRegionPerThousand()},
				{"largest share on one upstream", "of 10 s, mean", LowerIsBetter, mean(policy.largestShares), mean(baseline.largestShares)},
			}
		},
	}
}

// routingStrategy selects the engine of a request.
type routingStrategy struct {
	choose func(n *Entry, id string, req Request, estimate int64) int
	// countRequests makes the entry track its requests in flight by number instead of tokens.
	countRequests bool
}

// chooseByRouter returns the index of the engine that the router selects.
func chooseByRouter(entry *Entry, id string, request Request, estimate int64) int {
	now := entry.sim.Now()
	req := routing.Request{ID: id, Serves: "p", Prefix: request.Blocks, CostTokens: estimate, Bytes: request.Bytes}
	d, err := entry.Router.Route(req, entry.Candidates, now)
	if err != nil {
		// No engine fails in this scenario, so there is always a candidate.
		panic(err)
	}
	entry.Index.RecordRouted(d.Chosen.Name, request.Blocks, now)
	return entry.EngineIndex(d.Chosen.Name)
}

// chooseLeastOutstanding returns the index of the engine with the fewest reported requests plus requests that this
// entry has sent since the report. Ties are broken at random.
func chooseLeastOutstanding(entry *Entry, _ string, _ Request, _ int64) int {
	best, lowest, ties := -1, int64(0), 0
	for i, v := range entry.Candidates {
		_, later := entry.InFlight.Tokens(v.Name, v.ReportedAt)
		count := int64(v.Running+v.Queued) + later
		switch {
		case best < 0 || count < lowest:
			best, lowest, ties = i, count, 1
		case count == lowest:
			ties++
			if entry.sim.Rand.Intn(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// routingRun holds the results of one run.
type routingRun struct {
	latencies        []float64
	promptTokens     int
	cachedTokens     int
	crossRegionBytes int64
	requests         int
	largestShares    []float64
	windowCounts     map[string]int
}

func (r *routingRun) hitRate() float64 { return float64(r.cachedTokens) / float64(r.promptTokens) }

func (r *routingRun) crossRegionPerThousand() float64 {
	return float64(r.crossRegionBytes) / 1e6 / float64(r.requests) * 1000
}

// closeWindow records the largest fraction of the requests of this window that went to one upstream.
func (r *routingRun) closeWindow() {
	sum, highest := 0, 0
	for _, n := range r.windowCounts {
		sum += n
		highest = max(highest, n)
	}
	if sum > 0 {
		r.largestShares = append(r.largestShares, float64(highest)/float64(sum))
	}
	r.windowCounts = make(map[string]int)
}

func runRouting(u User, seed int64, strategy routingStrategy) *routingRun {
	s := NewSim(seed)
	cfg := DefaultEngineConfig()
	engines := u.Engines(s, cfg)
	var entries []*Entry
	for region := range u.Regions {
		entries = append(entries, NewEntry(s, u, region, engines, cfg))
	}
	StartReports(s, entries, cfg)
	generator := NewRequestGenerator(s, u, cfg)
	run := &routingRun{windowCounts: make(map[string]int)}
	s.Every(shareWindow, run.closeWindow)
	rate := routingLoad * cfg.Capacity() * float64(len(engines)) / u.MeanResponseTokens
	lastID := 0
	s.Poisson(func() float64 { return rate }, func() {
		lastID++
		entry := entries[pickWeighted(s, u.RegionWeights)]
		run.send(u, entry, fmt.Sprint(lastID), generator.Next(), strategy)
	})
	s.Run(routingLength)
	return run
}

func (r *routingRun) send(u User, entry *Entry, id string, req Request, strategy routingStrategy) {
	begin := entry.sim.Now()
	estimate := int64(u.MeanResponseTokens)
	engine := entry.Engines[strategy.choose(entry, id, req, estimate)]
	unit := estimate
	if strategy.countRequests {
		unit = 1
	}
	entry.InFlight.Sent(id, engine.Name, unit, begin)
	r.windowCounts[engine.Name]++
	job := &Job{ID: id, Prompt: req.Blocks, PromptTokens: req.PromptTokens, ResponseTokens: req.ResponseTokens, EstimatedTokens: estimate}
	job.Done = func(f Result) {
		entry.sim.After(entry.Delay(engine), func() {
			entry.InFlight.Done(id)
			if begin.Sub(epoch) < routingWarmUp {
				return
			}
			r.requests++
			r.promptTokens += req.PromptTokens
			r.cachedTokens += f.CachedTokens
			if engine.Region != entry.Region {
				r.crossRegionBytes += req.Bytes
			}
			r.latencies = append(r.latencies, (entry.sim.Now().Sub(begin) + 2*u.ClientDelay).Seconds())
		})
	}
	entry.sim.After(entry.Delay(engine), func() { engine.Submit(job) })
}
