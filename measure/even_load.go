package measure

import (
	"math"
	"time"
)

// LoadPattern is one case of the choice among upstreams under load reports of known age.
type LoadPattern struct {
	Name string
	// Hosts choose among Upstreams, each of which runs Slots requests at once. As many more wait there; others are rejected.
	Hosts, Upstreams, Slots int
	// Work is the mean time of a request at the usual pace, and Load the mean share of the capacity in use.
	Work time.Duration
	Load float64
	// Background: no caller waits for the requests.
	Background bool
	// ReportAge is the time between two reports of a host.
	ReportAge time.Duration
	// Unequal upstreams: every third one takes three times as long.
	Unequal bool
	// Batch is how many requests arrive at a host at once.
	Batch int
	// LostSight: half of the hosts neither send nor receive reports for the middle third of the time.
	LostSight bool
	// Joins: half of the hosts begin halfway.
	Joins bool
}

// LoadPatterns returns the patterns of the table.
func LoadPatterns() []LoadPattern {
	const age = 750 * time.Millisecond
	return []LoadPattern{
		{Name: "calm", Hosts: 40, Upstreams: 38, Slots: 6, Work: 25 * time.Millisecond, Load: 0.1, ReportAge: age, Batch: 1, Background: true},
		{Name: "busy", Hosts: 40, Upstreams: 12, Slots: 6, Work: 25 * time.Millisecond, Load: 0.7, ReportAge: age, Batch: 1},
		{Name: "unequal", Hosts: 40, Upstreams: 12, Slots: 6, Work: 25 * time.Millisecond, Load: 0.7, ReportAge: age, Batch: 1, Unequal: true},
		{Name: "old reports", Hosts: 40, Upstreams: 38, Slots: 6, Work: 200 * time.Millisecond, Load: 0.6, ReportAge: 2 * time.Second,
			Batch: 1, Unequal: true},
		{Name: "many hosts", Hosts: 300, Upstreams: 38, Slots: 6, Work: 200 * time.Millisecond, Load: 0.6, ReportAge: age, Batch: 1, Unequal: true},
		{Name: "bursts, lost sight", Hosts: 40, Upstreams: 38, Slots: 6, Work: 200 * time.Millisecond, Load: 0.5, ReportAge: age, Batch: 8,
			Unequal: true, LostSight: true, Background: true},
		{Name: "bursts, hosts join", Hosts: 40, Upstreams: 38, Slots: 6, Work: 200 * time.Millisecond, Load: 0.5, ReportAge: age, Batch: 8,
			Unequal: true, Joins: true, Background: true},
	}
}

// EvenLoadScenario compares the choice of package evenload with that of the least reported load.
func EvenLoadScenario(p LoadPattern) Scenario {
	return Scenario{
		Name:            "(k) even load, " + p.Name,
		Baseline:        "least requests in flight, own and as reported",
		SizeIndependent: true,
		Run: func(_ User, seed int64) []Figure {
			policy, baseline := runEvenLoad(p, chooseEvenLoad, seed), runEvenLoad(p, chooseLeastReported, seed)
			oracle := runEvenLoad(p, chooseLeastWait, seed)
			return []Figure{
				{"time p50", "s", LowerIsBetter, quantile(policy.times, 0.5), quantile(baseline.times, 0.5)},
				{"time p99", "s", LowerIsBetter, quantile(policy.times, 0.99), quantile(baseline.times, 0.99)},
				{"rejected", "of requests", LowerIsBetter, policy.rejectedShare(), baseline.rejectedShare()},
				{"busiest over mean", "work, 4 s", LowerIsBetter, mean(policy.unevenness), mean(baseline.unevenness)},
				{"connections", "of requests", Informative, policy.connectionShare(), baseline.connectionShare()},
				{"p99 of the least wait", "s, oracle", Informative, quantile(oracle.times, 0.99), quantile(oracle.times, 0.99)},
			}
		},
	}
}

// chooseLeastReported returns the upstream with the fewest requests in flight, as of the last reports.
func chooseLeastReported(r *loadRun, h *loadHost, rejectedBy map[string]bool) *loadServer {
	const connectionCost, tieBreakCost = 0.2, 0.01 // of one slot's worth of utilization, as in evenload
	return r.lowest(rejectedBy, func(s *loadServer) float64 {
		load := float64(h.own[s.id])
		for _, peer := range r.hosts {
			if peer != h && h.sees(peer, r.Now()) {
				load += float64(h.reports[peer.id].Requests[s.id])
			}
		}
		cost := (load+1)/float64(r.p.Slots) + tieBreakCost*r.Rand.Float64()
		if !h.connected(s.id, r.Now()) {
			cost += connectionCost
		}
		return cost
	})
}

// chooseLeastWait returns the upstream with the shortest wait, which no host can know.
func chooseLeastWait(r *loadRun, _ *loadHost, rejectedBy map[string]bool) *loadServer {
	return r.lowest(rejectedBy, func(s *loadServer) float64 {
		return float64(s.running+len(s.waiting)+1)*s.pace + 0.01*r.Rand.Float64()
	})
}

// lowest returns the upstream with the lowest cost; those that rejected the request come last.
func (r *loadRun) lowest(rejectedBy map[string]bool, cost func(s *loadServer) float64) *loadServer {
	var best *loadServer
	lowest := math.Inf(1)
	for _, s := range r.servers {
		c := cost(s)
		if rejectedBy[s.id] {
			c += 1e6
		}
		if c < lowest {
			best, lowest = s, c
		}
	}
	return best
}
