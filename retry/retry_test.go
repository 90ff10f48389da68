package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/outcome"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against retry storms: in any history, the retries must not exceed the share earned by first attempts plus the
// minimum earned over time.
func TestRetriesNeverExceedEarnedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := BudgetConfig{Share: 0.1, MinPerSecond: 0.5, MaxBalance: 10}
		b := NewBudget(cfg, start)
		now := start
		firstAttempts, spent := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.AddFirstAttempt(now)
				firstAttempts++
			} else if b.Spend(now) {
				spent++
			}
			earned := cfg.MinPerSecond + cfg.Share*float64(firstAttempts) + cfg.MinPerSecond*now.Sub(start).Seconds()
			if float64(spent) > earned+1e-6 {
				t.Fatalf("spent %d retries of %.2f earned", spent, earned)
			}
			if got := b.Balance(now); got > cfg.MaxBalance || got < 0 {
				t.Fatalf("balance %.2f is outside 0..%v", got, cfg.MaxBalance)
			}
		}
	})
}

// Guards against a rounding error that makes ten first attempts earn slightly less than one retry.
func TestTenFirstAttemptsEarnOneRetry(t *testing.T) {
	b := NewBudget(BudgetConfig{Share: 0.1, MaxBalance: 5}, start)
	for range 10 {
		b.AddFirstAttempt(start)
	}
	if !b.Spend(start) || b.Spend(start) {
		t.Fatalf("ten first attempts must earn exactly one retry; balance %v", b.Balance(start))
	}
}

// Guards against running a non-idempotent request twice, and against a retry after response bytes were forwarded.
func TestDecide(t *testing.T) {
	base := Attempt{Number: 1, Outcome: outcome.MayHaveRun, Idempotent: true, DeadlineLeft: time.Second}
	tests := []struct {
		name   string
		change func(*Attempt)
		want   Decision
	}{
		{"idempotent, may have run", func(*Attempt) {}, Decision{true, ReasonIdempotent}},
		{"not idempotent, may have run", func(a *Attempt) { a.Idempotent = false }, Decision{false, ReasonNotIdempotent}},
		{"not idempotent, not run", func(a *Attempt) { a.Idempotent = false; a.Outcome = outcome.NotRun }, Decision{true, ReasonNotRun}},
		{"bytes forwarded", func(a *Attempt) { a.BytesPassedOn = 1 }, Decision{false, ReasonBytesPassed}},
		{"ran", func(a *Attempt) { a.Outcome = outcome.Ran }, Decision{false, ReasonFinished}},
		{"last attempt", func(a *Attempt) { a.Number = 3 }, Decision{false, ReasonAttempts}},
		{"deadline passed", func(a *Attempt) { a.DeadlineLeft = 0 }, Decision{false, ReasonDeadline}},
		{"too little time for another attempt", func(a *Attempt) { a.MinRunTime = 2 * time.Second }, Decision{false, ReasonDeadline}},
	}
	for _, tt := range tests {
		a := base
		tt.change(&a)
		b := NewBudget(BudgetConfig{MinPerSecond: 1, MaxBalance: 1}, start)
		if got := DefaultPolicy().Decide(a, b, start); got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
	empty := NewBudget(BudgetConfig{MaxBalance: 1}, start)
	if got := DefaultPolicy().Decide(base, empty, start); got != (Decision{false, ReasonBudget}) {
		t.Errorf("empty budget: %+v", got)
	}
}

// Guards against a request that has not run and is not retried because others spent the budget, against one that spends what
// the others need, and against retries of it without limit.
func TestNotRunSpendsNoBudget(t *testing.T) {
	a := Attempt{Outcome: outcome.NotRun, DeadlineLeft: time.Second}
	for _, balance := range []float64{0, 1} {
		b := NewBudget(BudgetConfig{MinPerSecond: balance, MaxBalance: 1}, start)
		for a.Number = 1; a.Number < DefaultPolicy().MaxAttempts; a.Number++ {
			if got := DefaultPolicy().Decide(a, b, start); got != (Decision{true, ReasonNotRun}) {
				t.Errorf("attempt %d with balance %v: %+v", a.Number, balance, got)
			}
		}
		if got := DefaultPolicy().Decide(a, b, start); got != (Decision{false, ReasonAttempts}) {
			t.Errorf("attempt %d with balance %v: %+v", a.Number, balance, got)
		}
		if got := b.Balance(start); got != balance {
			t.Errorf("balance %v, want %v", got, balance)
		}
	}
}

// Guards against hedging requests that must not run twice, and against hedging every sample of a slow group.
func TestHedge(t *testing.T) {
	observed := &Latencies{}
	for i := range 100 {
		observed.Observe(time.Duration(i+1) * 100 * time.Millisecond)
	}
	base := Straggler{Idempotent: true, Missing: 1, Copies: 1, Running: 11 * time.Second, DeadlineLeft: time.Minute}
	tests := []struct {
		name     string
		change   func(*Straggler)
		observed *Latencies
		want     HedgeReason
	}{
		{"last missing and slow", func(*Straggler) {}, observed, HedgeSlow},
		{"not idempotent", func(s *Straggler) { s.Idempotent = false }, observed, HedgeNotIdempotent},
		{"two missing", func(s *Straggler) { s.Missing = 2 }, observed, HedgeNotLast},
		{"already hedged", func(s *Straggler) { s.Copies = 2 }, observed, HedgeAlready},
		{"not slow yet", func(s *Straggler) { s.Running = 9 * time.Second }, observed, HedgeNotSlowYet},
		{"deadline too near", func(s *Straggler) { s.DeadlineLeft = time.Second }, observed, HedgeDeadline},
		{"nothing observed", func(*Straggler) {}, &Latencies{}, HedgeTooFewObservations},
	}
	for _, tt := range tests {
		s := base
		tt.change(&s)
		b := NewBudget(BudgetConfig{MinPerSecond: 1, MaxBalance: 1}, start)
		ok, got := DefaultHedgeConfig().Hedge(s, tt.observed, b, start)
		if got != tt.want || ok != (tt.want == HedgeSlow) {
			t.Errorf("%s: %v %s, want %s", tt.name, ok, got, tt.want)
		}
	}
}
