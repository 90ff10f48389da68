package measure

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/routing"
)

// Length and load of the routing scenario. At 0.7 of the decoding capacity Hraunvegur's busiest region alone is
// overloaded, so that some traffic must leave it.
const (
	routingLength = 10 * time.Minute
	routingWarmUp = time.Minute
	routingLoad   = 0.7
	shareWindow   = 10 * time.Second
)

// RoutingScenario compares the router with least outstanding requests.
func RoutingScenario() Scenario {
	return Scenario{
		Name:     "(a) routing with load reports 1-3 s late, a tenth lost",
		Baseline: "least outstanding requests (reported plus own sent since)",
		Run: func(u User, seed int64) []Figure {
			policy := runRouting(u, seed, chooser{choose: routed})
			baseline := runRouting(u, seed, chooser{choose: leastOutstanding, perRequest: true})
			return []Figure{
				{"latency p50", "s", LowerIsBetter, quantile(policy.latencies, 0.5), quantile(baseline.latencies, 0.5)},
				{"latency p95", "s", LowerIsBetter, quantile(policy.latencies, 0.95), quantile(baseline.latencies, 0.95)},
				{"latency p99", "s", LowerIsBetter, quantile(policy.latencies, 0.99), quantile(baseline.latencies, 0.99)},
				{"prefix hit share", "of prompt tokens", HigherIsBetter, policy.hitShare(), baseline.hitShare()},
				{"cross-region volume", "MB/1000 requests", LowerIsBetter, policy.crossPerThousand(), baseline.crossPerThousand()},
				{"largest share on one upstream", "of 10 s, mean", LowerIsBetter, mean(policy.largest), mean(baseline.largest)},
			}
		},
	}
}

// chooser selects the engine of a request.
type chooser struct {
	choose func(n *Entry, id string, p Request, estimate int64) int
	// perRequest counts own work in requests instead of tokens.
	perRequest bool
}

// routed asks the router.
func routed(n *Entry, id string, p Request, estimate int64) int {
	now := n.sim.Now()
	req := routing.Request{ID: id, Serves: "p", Prefix: p.Blocks, CostTokens: estimate, Bytes: p.Bytes}
	d, err := n.Router.Route(req, n.Candidates, now)
	if err != nil {
		// No engine fails in this scenario, so that the filters always leave some.
		panic(err)
	}
	n.Index.RecordRouted(d.Chosen.Name, p.Blocks, now)
	return n.EngineIndex(d.Chosen.Name)
}

// leastOutstanding counts the reported requests and the own ones sent since; ties are broken at random.
func leastOutstanding(n *Entry, _ string, _ Request, _ int64) int {
	best, lowest, ties := -1, int64(0), 0
	for i, v := range n.Candidates {
		_, later := n.InFlight.Tokens(v.Name, v.ReportedAt)
		count := int64(v.Running+v.Queued) + later
		switch {
		case best < 0 || count < lowest:
			best, lowest, ties = i, count, 1
		case count == lowest:
			ties++
			if n.sim.Rand.Intn(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// routingRun is what one run measured.
type routingRun struct {
	latencies []float64
	prompt    int
	cached    int
	cross     int64
	requests  int
	largest   []float64
	window    map[string]int
}

func (r *routingRun) hitShare() float64 { return float64(r.cached) / float64(r.prompt) }

func (r *routingRun) crossPerThousand() float64 {
	return float64(r.cross) / 1e6 / float64(r.requests) * 1000
}

// closeWindow records the largest share of one upstream in the window.
func (r *routingRun) closeWindow() {
	sum, highest := 0, 0
	for _, n := range r.window {
		sum += n
		highest = max(highest, n)
	}
	if sum > 0 {
		r.largest = append(r.largest, float64(highest)/float64(sum))
	}
	r.window = make(map[string]int)
}

func runRouting(u User, seed int64, by chooser) *routingRun {
	s := NewSim(seed)
	cfg := DefaultEngineConfig()
	engines := u.Engines(s, cfg)
	var nodes []*Entry
	for region := range u.Regions {
		nodes = append(nodes, NewEntry(s, u, region, engines, cfg))
	}
	StartReports(s, nodes, cfg)
	prompts := NewRequestGenerator(s, u, cfg)
	run := &routingRun{window: make(map[string]int)}
	s.Every(shareWindow, run.closeWindow)
	rate := routingLoad * cfg.Capacity() * float64(len(engines)) / u.MeanResponseTokens
	serial := 0
	s.Poisson(func() float64 { return rate }, func() {
		serial++
		node := nodes[pick(s, u.RegionWeights)]
		run.send(u, node, fmt.Sprint(serial), prompts.Next(), by)
	})
	s.Run(routingLength)
	return run
}

func (r *routingRun) send(u User, n *Entry, id string, p Request, by chooser) {
	begin := n.sim.Now()
	estimate := int64(u.MeanResponseTokens)
	engine := n.Engines[by.choose(n, id, p, estimate)]
	unit := estimate
	if by.perRequest {
		unit = 1
	}
	n.InFlight.Sent(id, engine.Name, unit, begin)
	r.window[engine.Name]++
	job := &Job{ID: id, Prompt: p.Blocks, PromptTokens: p.PromptTokens, ResponseTokens: p.ResponseTokens, EstimatedTokens: estimate}
	job.Done = func(f Result) {
		n.sim.After(n.Delay(engine), func() {
			n.InFlight.Done(id)
			if begin.Sub(epoch) < routingWarmUp {
				return
			}
			r.requests++
			r.prompt += p.PromptTokens
			r.cached += f.CachedTokens
			if engine.Region != n.Region {
				r.cross += p.Bytes
			}
			r.latencies = append(r.latencies, (n.sim.Now().Sub(begin) + 2*u.ClientDelay).Seconds())
		})
	}
	n.sim.After(n.Delay(engine), func() { engine.Submit(job) })
}
