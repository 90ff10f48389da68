package retry

import "time"

// BudgetConfig bounds the extra load that retries and hedges may cause.
type BudgetConfig struct {
	// Share is how much of a retry each first try earns, for example 0.1.
	Share float64
	// MinPerSecond is earned without any traffic, so that an entry with little traffic can still retry.
	MinPerSecond float64
	// MaxBalance bounds the balance, so that a calm hour cannot pay for a burst of retries during an outage.
	MaxBalance float64
}

// DefaultBudgetConfig allows one retry for ten first tries.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Share: 0.1, MinPerSecond: 0.5, MaxBalance: 20}
}

// Budget is a balance of retries: first tries and time earn it, retries and hedges spend it.
type Budget struct {
	cfg     BudgetConfig
	balance float64
	updated time.Time
}

// NewBudget returns a budget that starts with one second of the minimum.
func NewBudget(cfg BudgetConfig, now time.Time) *Budget {
	return &Budget{cfg: cfg, balance: min(cfg.MinPerSecond, cfg.MaxBalance), updated: now}
}

// AddFirstAttempt earns the share of one first try.
func (b *Budget) AddFirstAttempt(now time.Time) {
	b.accrue(now)
	b.add(b.cfg.Share)
}

// Available reports whether a whole retry can be paid.
func (b *Budget) Available(now time.Time) bool {
	b.accrue(now)
	// The tolerance absorbs rounding: ten additions of 0.1 are slightly less than one.
	return b.balance >= 1-1e-9
}

// Spend pays for one retry or hedge and reports whether the balance covered it.
func (b *Budget) Spend(now time.Time) bool {
	if !b.Available(now) {
		return false
	}
	b.balance = max(0, b.balance-1)
	return true
}

// Balance returns the number of retries that can be paid.
func (b *Budget) Balance(now time.Time) float64 {
	b.accrue(now)
	return b.balance
}

func (b *Budget) accrue(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.add(elapsed.Seconds() * b.cfg.MinPerSecond)
}

func (b *Budget) add(amount float64) {
	b.balance = min(b.balance+amount, b.cfg.MaxBalance)
}
