package measure

import "time"

// Length and load of the fairness scenario. Every workspace sends slightly less than its share of the capacity, except
// one small workspace, which sends ten times its share.
const (
	fairnessLength = 10 * time.Minute
	fairnessWarmUp = time.Minute
	fairnessLoad   = 0.9
	floodFactor    = 10
)

// FairnessScenario compares the fair queue with a first-come-first-served queue.
func FairnessScenario() Scenario {
	return Scenario{
		Name:     "(b) fair sharing by tokens, one workspace sends ten times its share",
		Baseline: "first come first served with the same deadline check",
		Run: func(u User, seed int64) []Figure {
			policy := runFairness(u, seed, func(s *Sim, p *Pool) requestQueue { return newFairQueue(s, p, u.MeanResponseTokens) })
			baseline := runFairness(u, seed, func(s *Sim, p *Pool) requestQueue { return &sharedQueue{newFairQueue(s, p, u.MeanResponseTokens)} })
			return []Figure{
				{"worst-served workspace", "of its requests in time", HigherIsBetter, policy.worstSuccessRate(), baseline.worstSuccessRate()},
				{"its latency p95", "s", LowerIsBetter, policy.worstLatency(), baseline.worstLatency()},
				{"flooding workspace", "of capacity", Informative, policy.floodingThroughput(), baseline.floodingThroughput()},
				{"all answers in time", "of capacity", HigherIsBetter, policy.throughput(), baseline.throughput()},
			}
		},
	}
}

// sharedQueue assigns all requests to one workspace, which makes the fair queue first come, first served.
type sharedQueue struct {
	*fairQueue
}

func (q *sharedQueue) offer(req queuedRequest) {
	req.item.Workspace, req.item.Weight = "all", 1
	q.fairQueue.offer(req)
}

// fairnessRun holds the results of one run by workspace. The last workspace is the one that exceeds its share.
type fairnessRun struct {
	capacity  float64
	requests  []float64
	inTime    []float64
	tokens    []float64
	latencies [][]float64
}

func (r *fairnessRun) floodingIndex() int { return len(r.requests) - 1 }

// worstSuccessRate returns the lowest fraction of requests answered in time among the workspaces that stay within their
// share.
func (r *fairnessRun) worstSuccessRate() float64 {
	lowest := 1.0
	for i := range r.floodingIndex() {
		lowest = min(lowest, r.inTime[i]/r.requests[i])
	}
	return lowest
}

// worstLatency returns the highest 95th percentile of the latency among the same workspaces, in seconds. A request
// without a response counts with the time until it failed.
func (r *fairnessRun) worstLatency() float64 {
	highest := 0.0
	for i := range r.floodingIndex() {
		highest = max(highest, quantile(r.latencies[i], 0.95))
	}
	return highest
}

func (r *fairnessRun) floodingThroughput() float64 { return r.tokens[r.floodingIndex()] / r.capacity }

func (r *fairnessRun) throughput() float64 {
	sum := 0.0
	for _, t := range r.tokens {
		sum += t
	}
	return sum / r.capacity
}

func runFairness(u User, seed int64, newQueue func(*Sim, *Pool) requestQueue) *fairnessRun {
	s := NewSim(seed)
	cfg := DefaultEngineConfig()
	pool := NewPool(s, u.Engines(s, cfg), cfg)
	count := len(u.WorkspaceWeights)
	run := &fairnessRun{
		capacity: pool.Capacity() * (fairnessLength - fairnessWarmUp).Seconds(),
		requests: make([]float64, count), inTime: make([]float64, count), tokens: make([]float64, count),
		latencies: make([][]float64, count),
	}
	client := &Client{sim: s, user: u, pool: pool, queue: newQueue(s, pool), generator: NewRequestGenerator(s, u, cfg), maxAttempts: 1}
	client.onAttemptEnd = run.record
	sum := 0.0
	for _, w := range u.WorkspaceWeights {
		sum += w
	}
	for i, w := range u.WorkspaceWeights {
		rate := fairnessLoad * pool.Capacity() * w / sum / u.MeanResponseTokens
		if i == run.floodingIndex() {
			rate *= floodFactor / fairnessLoad
		}
		s.Poisson(func() float64 { return rate }, func() { client.Send(i, w) })
	}
	s.Run(fairnessLength)
	return run
}

func (r *fairnessRun) record(a attempt) {
	if a.begin.Sub(epoch) < fairnessWarmUp {
		return
	}
	r.requests[a.workspace]++
	r.latencies[a.workspace] = append(r.latencies[a.workspace], a.end.Sub(a.begin).Seconds())
	if a.ok {
		r.inTime[a.workspace]++
		r.tokens[a.workspace] += float64(a.request.ResponseTokens)
	}
}
