package admission

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against starvation: a backlogged workspace must get its weighted share of the admitted tokens minus one item
// of maximum cost, whatever the other workspaces send and whenever they become active or idle.
func TestBackloggedWorkspaceGetsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 100
		q := New(Config{WindowTokens: maxCost, WindowItems: 1, MaxItems: 1 << 20, TokensPerSecond: 1}, rand.New(rand.NewSource(1)))
		weights := []float64{1, 1, 1}
		for i := range weights {
			weights[i] = rapid.Float64Range(0.5, 8).Draw(t, "weight")
		}
		sum := weights[0] + weights[1] + weights[2]
		next := 0
		offer := func(w int) {
			next++
			cost := rapid.Int64Range(1, maxCost).Draw(t, "cost")
			q.Offer(Item{ID: fmt.Sprint(next), Workspace: fmt.Sprint(w), Weight: weights[w], Cost: cost}, start)
		}
		busy := rapid.IntRange(0, 30).Draw(t, "history")
		for range busy {
			offer(rapid.IntRange(1, 2).Draw(t, "earlier"))
			if i, ok := q.Next(start); ok {
				q.Done(i.ID, i.Cost, start)
			}
		}
		for range 300 {
			offer(0)
		}
		served, total := 0.0, 0.0
		for range 200 {
			if rapid.Bool().Draw(t, "arrival") {
				offer(rapid.IntRange(1, 2).Draw(t, "other"))
			}
			for id, r := range q.running {
				q.Done(id, r.cost, start)
			}
			i, ok := q.Next(start)
			if !ok {
				t.Fatal("nothing admitted although work is queued")
			}
			total += float64(i.Cost)
			if i.Workspace == "0" {
				served += float64(i.Cost)
			}
			if share := total * weights[0] / sum; served < share-maxCost-1e-6 {
				t.Fatalf("served %.0f of %.0f; share %.0f", served, total, share)
			}
		}
	})
}

// Guards against lost or duplicated items and wrong totals under any sequence of calls.
func TestEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.WindowItems, cfg.MaxItems = 3, 8
		q := New(cfg, rand.New(rand.NewSource(1)))
		now := start
		in, left := map[string]bool{}, map[string]bool{}
		leave := func(id string) {
			if !in[id] || left[id] {
				t.Fatalf("item %q left twice or was never offered", id)
			}
			left[id] = true
		}
		for n := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "call") {
			case 0, 1:
				item := Item{ID: fmt.Sprint(n), Workspace: fmt.Sprint(n % 3), Key: fmt.Sprint(n % 2), Cost: 100, Deadline: now.Add(2 * time.Second)}
				in[item.ID] = true
				decision := q.Offer(item, now)
				if decision.Action != Wait {
					leave(item.ID)
				}
				if decision.Displaced != nil {
					leave(decision.Displaced.ID)
				}
			case 2:
				if i, ok := q.Next(now); ok {
					leave(i.ID)
				}
			case 3:
				q.Done(id, 50, now)
			case 4:
				if i, ok := q.Remove(id, now); ok {
					leave(i.ID)
				}
			default:
				for _, i := range q.Expire(now) {
					leave(i.ID)
				}
			}
			if q.Len() > cfg.MaxItems || len(in)-len(left) != q.Len() {
				t.Fatalf("%d queued, %d offered, %d left", q.Len(), len(in), len(left))
			}
		}
		for _, i := range q.Close(now) {
			leave(i.ID)
		}
		if len(in) != len(left) || q.queuedTokens != 0 {
			t.Fatalf("%d of %d left, %d tokens queued", len(left), len(in), q.queuedTokens)
		}
	})
}

// Guards against refused callers that all retry at the same moment.
func TestRetryAfterIsJittered(t *testing.T) {
	q := New(Config{WindowItems: 1, MaxItems: 0, TokensPerSecond: 100, MinRetryAfter: time.Second, RetryJitter: 0.5}, rand.New(rand.NewSource(1)))
	q.Offer(Item{ID: "running", Cost: 100}, start)
	seen := map[time.Duration]bool{}
	for n := range 20 {
		decision := q.Offer(Item{ID: fmt.Sprint(n), Cost: 100}, start)
		if decision.Action != Refuse || decision.RetryAfter < time.Second || decision.RetryAfter > 4*time.Second {
			t.Fatalf("decision %+v", decision)
		}
		seen[decision.RetryAfter] = true
	}
	if len(seen) < 15 {
		t.Fatalf("only %d different times for 20 refusals", len(seen))
	}
}

// Guards against a queue that admits items which have no time left to run, and against one that refuses a class of
// items forever after it has observed slow runs.
func TestObservedServiceTime(t *testing.T) {
	q := New(Config{WindowTokens: 1 << 20, WindowItems: 1, MaxItems: 10, TokensPerSecond: 100, RateInterval: time.Hour}, rand.New(rand.NewSource(1)))
	now := start
	for n := range minServiceTimes {
		q.Offer(Item{ID: fmt.Sprint(n), Cost: 100}, now)
		now = now.Add(4 * time.Second)
		q.Done(fmt.Sprint(n), 100, now)
	}
	offer := func(id string, left time.Duration) Action {
		return q.Offer(Item{ID: id, Cost: 100, Deadline: now.Add(left)}, now).Action
	}
	// Each item waits one second for every item before it, and a run takes four seconds.
	if got := offer("idle", 3*time.Second); got != Admit {
		t.Errorf("an idle queue returns %v for an item with less time left than the last runs took, want admit", got)
	}
	if got := offer("first", 4500*time.Millisecond); got != Wait {
		t.Errorf("wait of 1 s and a run of half the 4.5 s left: %v, want wait", got)
	}
	if got := offer("second", 4500*time.Millisecond); got != Wait {
		t.Errorf("wait of 2 s and a run of half the 4.5 s left: %v, want wait", got)
	}
	if got := offer("refused", 5900*time.Millisecond); got != Refuse {
		t.Errorf("wait of 3 s and a run of half the 5.9 s left: %v, want refuse", got)
	}
	if got := q.Offer(Item{ID: "small", Cost: 1, Deadline: now.Add(4 * time.Second)}, now).Action; got != Wait {
		t.Errorf("an item with a cost of another magnitude got the estimate of the large ones: %v, want wait", got)
	}
}

// Guards against an item that is queued although its expected wait exceeds MaxWaitShare, and against a limit that
// refuses items which could start at once.
func TestNoItemWaitsBeyondItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			WindowTokens: 300, WindowItems: 3, MaxItems: 100, TokensPerSecond: 100, RateInterval: time.Second,
			MaxWaitShare: rapid.Float64Range(0.05, 1).Draw(t, "share"),
		}
		q := New(cfg, rand.New(rand.NewSource(1)))
		now := start
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "done") {
				for _, id := range slices.Sorted(maps.Keys(q.running)) {
					q.Done(id, 100, now)
					break
				}
				q.Expire(now)
				q.Next(now)
			}
			left := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "left")) * time.Millisecond
			item := Item{ID: fmt.Sprint(n), Workspace: fmt.Sprint(n % 3), Cost: 100, Deadline: now.Add(left), ServiceTime: time.Millisecond}
			decision := q.Offer(item, now)
			limit := time.Duration(cfg.MaxWaitShare * float64(left))
			if decision.Action == Wait && decision.ExpectedWait > limit {
				t.Fatalf("item is expected to wait %v, more than the allowed %v", decision.ExpectedWait, limit)
			}
			if decision.Action == Refuse && decision.ExpectedWait == 0 && left > item.ServiceTime {
				t.Fatalf("item refused although it could start at once: %+v", decision)
			}
		}
	})
}
