package measure

import (
	"time"
)

// Length and load of the group scenario. Two trainers share the engines with live traffic. Generating a lot takes about
// as long as training on it, so that the weights change every two and a half minutes. While a trainer trains on one
// lot, only the next lot is generated, which keeps samples fresh and makes a straggler delay the next step.
const (
	groupsLength   = 30 * time.Minute
	groupsWarmUp   = 5 * time.Minute
	groupsTrainers = 2
	groupsLiveLoad = 0.15
	groupsLotLoad  = 0.38
	trainTime      = 150 * time.Second
	groupSize      = 8
	// maxOpenGroups is the number of incomplete groups per trainer; all of them together need slightly more than all
	// slots.
	maxOpenGroups = 40
	// maxStaleness is the maximum staleness of a group in versions when a lot is pulled.
	maxStaleness = 2
)

// Faults of single attempts: samples discarded for their version labels, and stalled starts.
const (
	discardShare = 0.02
	stallShare   = 0.01
	stallTime    = time.Minute
)

// GroupsScenario compares a queue that prioritises requests that complete a group, with hedging, with the same queue
// without either.
func GroupsScenario() Scenario {
	return Scenario{
		Name:     "(d) groups of 8: priority to requests that complete a group, and hedging; 1% of the attempts hang for 60 s, 2% are discarded",
		Baseline: "the same queue without priority or hedging",
		Run: func(u User, seed int64) []Figure {
			policy := runGroups(u, seed, true)
			baseline := runGroups(u, seed, false)
			return []Figure{
				{"time to complete group mean", "s", LowerIsBetter, mean(policy.completionSeconds), mean(baseline.completionSeconds)},
				{"time to complete group p50", "s", LowerIsBetter, quantile(policy.completionSeconds, 0.5), quantile(baseline.completionSeconds, 0.5)},
				{"time to complete group p99", "s", LowerIsBetter, quantile(policy.completionSeconds, 0.99), quantile(baseline.completionSeconds, 0.99)},
				{"groups completed", "/h and trainer", HigherIsBetter, policy.groupsPerHour(), baseline.groupsPerHour()},
				{"trainer idle", "of time", LowerIsBetter, policy.idleFraction(), baseline.idleFraction()},
				{"staleness mean", "versions", LowerIsBetter, mean(policy.staleness), mean(baseline.staleness)},
				{"staleness max", "versions", LowerIsBetter, quantile(policy.staleness, 1), quantile(baseline.staleness, 1)},
				{"wasted tokens", "of generated", LowerIsBetter, policy.wastedFraction(), baseline.wastedFraction()},
			}
		},
	}
}

// groupsRun holds the results of one run.
type groupsRun struct {
	completionSeconds []float64
	staleness         []float64
	idle              time.Duration
	generatedTokens   float64
	wastedTokens      float64
}

func (r *groupsRun) idleFraction() float64 {
	return r.idle.Seconds() / (groupsTrainers * (groupsLength - groupsWarmUp).Seconds())
}

func (r *groupsRun) groupsPerHour() float64 {
	return float64(len(r.completionSeconds)) / groupsTrainers / (groupsLength - groupsWarmUp).Hours()
}

func (r *groupsRun) wastedFraction() float64 { return r.wastedTokens / r.generatedTokens }

func runGroups(u User, seed int64, policy bool) *groupsRun {
	s := NewSim(seed)
	cfg := DefaultEngineConfig()
	pool := NewPool(s, u.Engines(s, cfg), cfg)
	queue := newFairQueue(s, pool, u.MeanResponseTokens)
	run := &groupsRun{}
	lotGroups := int(groupsLotLoad * pool.Capacity() * trainTime.Seconds() / u.MeanResponseTokens / groupSize)
	for i := range groupsTrainers {
		t := newTrainer(s, u, pool, queue, run, i, lotGroups, policy)
		t.refill()
		if policy {
			s.Every(hedgeInterval, t.hedge)
		}
	}
	live := &Client{sim: s, user: u, pool: pool, queue: queue, generator: NewRequestGenerator(s, u, cfg), maxAttempts: 1, onAttemptEnd: func(attempt) {}}
	rate := groupsLiveLoad * pool.Capacity() / u.MeanResponseTokens
	s.Poisson(func() float64 { return rate }, func() { live.Send(0, 1) })
	s.Run(groupsLength)
	return run
}
