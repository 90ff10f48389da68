package ordering

import (
	"math/rand"
	"testing"
	"time"
)

var testPool = Pool{DataCentre: "sudur", Kind: "engine:fares"}

func newTestPlanner(t *testing.T) *Planner {
	p, err := New(DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against orders that follow the fluctuations of a load with a constant mean.
func TestNoisyLoadCausesNoOrders(t *testing.T) {
	p := newTestPlanner(t)
	rng := rand.New(rand.NewSource(1))
	now := time.Unix(0, 0)
	for range 3600 {
		now = now.Add(time.Second)
		busy := 21 + rng.Intn(15) - 7
		s := Signal{Pool: testPool, Live: 4, Busy: busy, Slots: 40, Min: 1, Max: 20}
		if decision, ok := p.Plan(s, 4, now); ok {
			t.Fatalf("ordered %d after %s", decision.Count, now.Sub(time.Unix(0, 0)))
		}
	}
}

// Guards against a sustained overload that causes no order, or causes one before the scale-up delay.
func TestSustainedOverloadScalesUpAfterDelay(t *testing.T) {
	p := newTestPlanner(t)
	start := time.Unix(0, 0)
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		s := Signal{Pool: testPool, Live: 2, Busy: 20, Refused: 15, Slots: 20, Min: 1, Max: 20}
		decision, ok := p.Plan(s, 2, now)
		if ok && now.Sub(start) < DefaultScaleUpDelay {
			t.Fatalf("ordered after %s", now.Sub(start))
		}
		if ok {
			if decision.Count != 5 {
				t.Fatalf("ordered %d, want 5 for 35 busy slots at 10 slots per upstream and 70 %% utilization", decision.Count)
			}
			return
		}
	}
	t.Fatal("nothing ordered within a minute")
}

// Guards against scaling down during a short drop in load, and below the highest count required during the delay.
func TestScaleDownWaitsAndKeepsPeakCount(t *testing.T) {
	p := newTestPlanner(t)
	start := time.Unix(0, 0)
	for second := 0; ; second += 5 {
		now := start.Add(time.Duration(second) * time.Second)
		busy := 4
		if second >= 100 && second < 160 {
			busy = 19
		}
		decision, ok := p.Plan(Signal{Pool: testPool, Live: 6, Busy: busy, Slots: 60, Min: 1}, 6, now)
		if !ok {
			if second > 900 {
				t.Fatal("no scale-down within 900 s")
			}
			continue
		}
		if now.Sub(start) < DefaultScaleDownDelay || decision.Count != 3 {
			t.Fatalf("ordered %d after %s; want 3 after at least %s", decision.Count, now.Sub(start), DefaultScaleDownDelay)
		}
		return
	}
}

// Guards against orders outside the configured bounds.
func TestCountStaysWithinBounds(t *testing.T) {
	p := newTestPlanner(t)
	now := time.Unix(0, 0)
	for range 120 {
		now = now.Add(time.Second)
		if decision, ok := p.Plan(Signal{Pool: testPool, Live: 2, Busy: 500, Slots: 20, Min: 1, Max: 3}, 2, now); ok {
			if decision.Count != 3 {
				t.Fatalf("ordered %d, want the maximum 3", decision.Count)
			}
			return
		}
	}
	t.Fatal("nothing ordered")
}
