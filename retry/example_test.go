package retry_test

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/retry"
)

// A non-idempotent request is retried only when it is known not to have run, which costs no budget.
func Example() {
	now := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	// The budget covers one retry.
	budget := retry.NewBudget(retry.BudgetConfig{Share: 0.1, MinPerSecond: 1, MaxBalance: 10}, now)
	policy := retry.DefaultPolicy()
	lost := retry.Attempt{Number: 1, Outcome: outcome.MayHaveRun, DeadlineLeft: time.Minute}
	fmt.Println(policy.Decide(lost, budget, now))
	refused := retry.Attempt{Number: 1, Outcome: outcome.NotRun, DeadlineLeft: time.Minute}
	lost.Idempotent = true
	fmt.Println(policy.Decide(refused, budget, now))
	fmt.Println(policy.Decide(lost, budget, now))
	fmt.Println(policy.Decide(lost, budget, now))
	fmt.Println(policy.Decide(refused, budget, now))
	// Output:
	// {false not_idempotent}
	// {true not_run}
	// {true idempotent}
	// {false budget_empty}
	// {true not_run}
}
