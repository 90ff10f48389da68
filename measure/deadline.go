package measure

import (
	"fmt"
	"time"
)

// Phases and loads of the overload scenario, and the maximum number of attempts of a client.
const (
	deadlineBefore     = time.Minute
	deadlineOverload   = 2 * time.Minute
	deadlineAfter      = 5 * time.Minute
	deadlineNormalLoad = 0.7
	deadlineAttempts   = 4
)

// The system has recovered at the end of the first window in which recoverySuccessRate of the new requests succeed at
// their first attempt.
const (
	recoveryWindow      = 5 * time.Second
	recoverySuccessRate = 0.95
)

// DeadlineScenario compares admission by deadline with a FIFO queue while the load is factor times the capacity.
func DeadlineScenario(factor float64) Scenario {
	return Scenario{
		Name:     fmt.Sprintf("(c) admission by deadline, two minutes at %g times capacity, four attempts", factor),
		Baseline: "FIFO queue with retries on timeout (timed-out requests are removed from the queue)",
		Run: func(u User, seed int64) []Figure {
			policy := runDeadline(u, seed, factor, func(s *Sim, p *Pool) requestQueue { return newFairQueue(s, p, u.MeanResponseTokens) })
			baseline := runDeadline(u, seed, factor, func(_ *Sim, p *Pool) requestQueue { return newFIFOQueue(p) })
			capacity := saturatedRate(u, seed)
			return []Figure{
				{"goodput during overload", "of capacity", HigherIsBetter, policy.goodput(capacity), baseline.goodput(capacity)},
				{"amplification", "attempts/request", LowerIsBetter, policy.amplification(), baseline.amplification()},
				{"recovery after the overload", "s (300: not within 300)", LowerIsBetter, policy.recovery(), baseline.recovery()},
			}
		},
	}
}

// deadlineRun holds the results of one run.
type deadlineRun struct {
	client *Client
	tokens float64
	// firstAttempts and succeeded count the first attempts, and those that succeeded, by window after the overload.
	firstAttempts []int
	succeeded     []int
}

// goodput returns the rate of the tokens of responses that arrived in time, as a fraction of capacity, which is in
// tokens per second.
func (r *deadlineRun) goodput(capacity float64) float64 {
	return r.tokens / (capacity * deadlineOverload.Seconds())
}

// saturatedRate returns the capacity in tokens per second: the rate of the same engines during the two minutes of the
// overload if all slots are always in use and no response is too late.
func saturatedRate(u User, seed int64) float64 {
	s := NewSim(seed)
	cfg := DefaultEngineConfig()
	pool := NewPool(s, u.Engines(s, cfg), cfg)
	generator := NewRequestGenerator(s, u, cfg)
	tokens := 0
	var next func()
	next = func() {
		req := generator.Next()
		pool.Submit(&Job{
			Prompt: req.Blocks, PromptTokens: req.PromptTokens, ResponseTokens: req.ResponseTokens,
			EstimatedTokens: int64(u.MeanResponseTokens),
			Done: func(Result) {
				if s.Elapsed() >= deadlineBefore {
					tokens += req.ResponseTokens
				}
				next()
			},
		})
	}
	for range pool.Slots() {
		next()
	}
	s.Run(deadlineBefore + deadlineOverload)
	return float64(tokens) / deadlineOverload.Seconds()
}

func (r *deadlineRun) amplification() float64 {
	return float64(r.client.Attempts) / float64(r.client.Requests)
}

// recovery returns the seconds from the end of the overload to the recovery, or the length of the whole phase if there
// was none.
func (r *deadlineRun) recovery() float64 {
	for i := range r.firstAttempts {
		if r.firstAttempts[i] > 0 && float64(r.succeeded[i]) >= recoverySuccessRate*float64(r.firstAttempts[i]) {
			return float64(i+1) * recoveryWindow.Seconds()
		}
	}
	return deadlineAfter.Seconds()
}

func runDeadline(u User, seed int64, factor float64, newQueue func(*Sim, *Pool) requestQueue) *deadlineRun {
	s := NewSim(seed)
	cfg := DefaultEngineConfig()
	pool := NewPool(s, u.Engines(s, cfg), cfg)
	client := &Client{
		sim: s, user: u, pool: pool, queue: newQueue(s, pool), generator: NewRequestGenerator(s, u, cfg),
		maxAttempts: deadlineAttempts,
	}
	windows := int(deadlineAfter / recoveryWindow)
	run := &deadlineRun{client: client, firstAttempts: make([]int, windows), succeeded: make([]int, windows)}
	client.onAttemptEnd = run.record
	rate := func() float64 {
		load := deadlineNormalLoad
		if at := s.Elapsed(); at >= deadlineBefore && at < deadlineBefore+deadlineOverload {
			load = factor
		}
		return load * pool.Capacity() / u.MeanResponseTokens
	}
	s.Poisson(rate, func() {
		w := pickWeighted(s, u.WorkspaceWeights)
		client.Send(w, u.WorkspaceWeights[w])
	})
	s.Run(deadlineBefore + deadlineOverload + deadlineAfter)
	return run
}

func (r *deadlineRun) record(a attempt) {
	end := a.end.Sub(epoch)
	if a.ok && end >= deadlineBefore && end < deadlineBefore+deadlineOverload {
		r.tokens += float64(a.request.ResponseTokens)
	}
	since := a.begin.Sub(epoch) - deadlineBefore - deadlineOverload
	if since < 0 || a.number != 1 {
		return
	}
	i := int(since / recoveryWindow)
	r.firstAttempts[i]++
	if a.ok {
		r.succeeded[i]++
	}
}
