package retry

import "time"

// BudgetConfig limits the extra load that hedges and retries of attempts that may have run cause.
type BudgetConfig struct {
	// Share is the number of retries that each first attempt earns, for example 0.1.
	Share float64
	// MinPerSecond is the number of retries earned per second without any traffic, so that an entry with little traffic can
	// still retry.
	MinPerSecond float64
	// MaxBalance limits the balance, so that an hour without failures cannot pay for a burst of retries during an outage.
	MaxBalance float64
}

// DefaultBudgetConfig allows one such retry for every ten first attempts.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Share: 0.1, MinPerSecond: 0.5, MaxBalance: 20}
}

// Budget is a balance of retries: first attempts and elapsed time add to it, hedges and retries of attempts that may have run
// spend it.
type Budget struct {
	cfg     BudgetConfig
	balance float64
	updated time.Time
}

// NewBudget returns a budget whose balance is what MinPerSecond earns in one second.
func NewBudget(cfg BudgetConfig, now time.Time) *Budget {
	return &Budget{cfg: cfg, balance: min(cfg.MinPerSecond, cfg.MaxBalance), updated: now}
}

// AddFirstAttempt adds the share that one first attempt earns.
func (b *Budget) AddFirstAttempt(now time.Time) {
	b.accrue(now)
	b.add(b.cfg.Share)
}

// Available reports whether the balance covers one retry.
func (b *Budget) Available(now time.Time) bool {
	b.accrue(now)
	// The tolerance absorbs rounding errors: the sum of ten additions of 0.1 is slightly less than 1.
	return b.balance >= 1-1e-9
}

// Spend subtracts one retry or hedge if the balance covers it, and reports whether it did.
func (b *Budget) Spend(now time.Time) bool {
	if !b.Available(now) {
		return false
	}
	b.balance = max(0, b.balance-1)
	return true
}

// Balance returns the number of retries that the budget covers.
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
