package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against exceeding the limit: with lost and late replies, changing demand and changes of the role holder, the
// rates of all entries must never add up to more than the limit.
func TestSumOfSharesNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{MaxEntries: 4, StaticFraction: rapid.Float64Range(0, 1).Draw(t, "static"), GrantDuration: 5 * time.Second, Burst: time.Second, DemandInterval: time.Second}
		const limit = 1000.0
		limits := func(string) float64 { return limit }
		now := start
		granter := NewGranter(cfg, now)
		shares := make([]*Shares, cfg.MaxEntries)
		for i := range shares {
			shares[i] = NewShares(cfg)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(shares)-1).Draw(t, "entry")
			shares[i].Take("w", limit, rapid.Int64Range(0, 3000).Draw(t, "cost"), now)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				granter = NewGranter(cfg, now)
			case 1, 2:
				granter.Request(fmt.Sprint(i), shares[i].Demands(now), limits, now)
			default:
				sent := now
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond)
				grants := granter.Request(fmt.Sprint(i), shares[i].Demands(sent), limits, now)
				shares[i].Apply(grants, sent, now)
			}
			sum := 0.0
			for _, s := range shares {
				sum += s.Rate("w", now)
			}
			if sum > limit+1e-6 {
				t.Fatalf("shares add up to %v of %v", sum, limit)
			}
		}
	})
}

// Guards against long-term use above the rate: a negative balance after a large request must be earned back before the
// next request is allowed.
func TestTakeKeepsLongTermRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{MaxEntries: 1, StaticFraction: 0.5, Burst: 2 * time.Second, DemandInterval: time.Second}
		const limit, largest = 200.0, 1500
		s := NewShares(cfg)
		now, used := start, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			cost := rapid.Int64Range(1, largest).Draw(t, "cost")
			if s.Take("w", limit, cost, now).Allowed {
				used += float64(cost)
			}
			s.Demands(now)
			allowed := limit/2*(now.Sub(start).Seconds()+cfg.Burst.Seconds()) + largest
			if used > allowed+1e-3 {
				t.Fatalf("used %v of %v", used, allowed)
			}
		}
	})
}

// Guards against a RetryAfter after which the caller is refused again.
func TestRetryAfterIsLongEnough(t *testing.T) {
	cfg := DefaultConfig()
	s := NewShares(cfg)
	now := start
	for range 50 {
		decision := s.Take("w", 1600, 60, now)
		if decision.Allowed {
			continue
		}
		now = now.Add(decision.RetryAfter + time.Microsecond)
		if decision = s.Take("w", 1600, 60, now); !decision.Allowed {
			t.Fatalf("refused again after RetryAfter, with a new delay of %v", decision.RetryAfter)
		}
	}
}

// Guards against grants that stay with one entry although the demand of another has grown, and against a new holder
// that issues grants before those of the previous one have expired.
func TestGrantsFollowDemand(t *testing.T) {
	cfg := DefaultConfig()
	cfg.StaticFraction = 0.5
	limits := func(string) float64 { return 1000 }
	g := NewGranter(cfg, start)
	if got := g.Request("a", []Demand{{"w", 900}}, limits, start); len(got) != 0 {
		t.Fatalf("a new holder granted %v while grants of the previous one may be valid", got)
	}
	now := g.ReadyAt()
	first := g.Request("a", []Demand{{"w", 900}}, limits, now)
	if len(first) != 1 || first[0].TokensPerSecond != 500 {
		t.Fatalf("the only entry with demand got %v, want 500", first)
	}
	now = now.Add(time.Second)
	if got := g.Request("b", []Demand{{"w", 900}}, limits, now); got[0].TokensPerSecond != 0 {
		t.Fatalf("b got %v while a has the whole granted rate, want 0", got)
	}
	now = now.Add(time.Second)
	g.Request("a", []Demand{{"w", 900}}, limits, now)
	now = now.Add(cfg.GrantDuration - time.Second)
	g.Request("b", []Demand{{"w", 900}}, limits, now)
	g.Request("a", []Demand{{"w", 900}}, limits, now)
	if got := g.Request("b", []Demand{{"w", 900}}, limits, now); got[0].TokensPerSecond != 250 {
		t.Fatalf("after a's larger grant expired b got %v, want 250", got)
	}
}
