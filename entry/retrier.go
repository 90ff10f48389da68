package entry

import (
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/retry"
)

// retrier protects the retry policy, budget and latencies, which all requests of the entry share, with a mutex.
type retrier struct {
	mu        sync.Mutex
	policy    retry.Policy
	hedge     retry.HedgeConfig
	budget    *retry.Budget
	latencies retry.Latencies
}

func newRetrier(s Settings, now time.Time) *retrier {
	config := retry.DefaultBudgetConfig()
	config.Share = s.RetryShare
	return &retrier{
		policy: retry.Policy{MaxAttempts: s.MaxAttempts}, hedge: retry.DefaultHedgeConfig(),
		budget: retry.NewBudget(config, now),
	}
}

func (r *retrier) recordFirstAttempt(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.AddFirstAttempt(now)
}

func (r *retrier) decide(a retry.Attempt, now time.Time) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Decide(a, r.budget, now)
}

func (r *retrier) recordLatency(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latencies.Observe(latency)
}

// hedgeDelay returns how long a sample must run before it may be hedged, or false while too few latencies are known.
func (r *retrier) hedgeDelay() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hedge.Delay(&r.latencies)
}

func (r *retrier) mayHedge(s retry.Straggler, now time.Time) (bool, retry.HedgeReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hedge.Hedge(s, &r.latencies, r.budget, now)
}
