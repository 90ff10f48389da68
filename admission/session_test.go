package admission

import (
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/goldentest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against an unfair order, an item kept past its deadline, a removal without effect and a wrong cost correction.
func TestQueueSession(t *testing.T) {
	replay(t, "testdata/queue.golden", sessionConfig())
}

// Guards against an enqueued item that is admitted without its turn, a wait that ignores the rate that was set, and ranks
// that do not order the items of a workspace.
func TestEnqueueSession(t *testing.T) {
	replay(t, "testdata/enqueue.golden", sessionConfig())
}

// Guards against a queue that accepts an item whose expected wait exceeds MaxWaitShare, and against a RetryAfter that
// ignores this limit.
func TestWaitShareSession(t *testing.T) {
	cfg := sessionConfig()
	cfg.MaxWaitShare = 0.25
	replay(t, "testdata/wait_share.golden", cfg)
}

func sessionConfig() Config {
	return Config{
		WindowTokens: 200, WindowItems: 10, MaxItems: 5, TokensPerSecond: 100, RateInterval: time.Hour,
		MinRetryAfter: time.Second, RetryJitter: 0.5,
	}
}

func replay(t *testing.T, path string, cfg Config) {
	q := New(cfg, rand.New(rand.NewSource(1)))
	now := start
	respond := func(f []string) []string {
		switch f[0] {
		case "at":
			d, err := time.ParseDuration(f[1])
			if err != nil {
				t.Fatal(err)
			}
			now = start.Add(d)
			return nil
		case "offer":
			return describe(q.Offer(parseItem(t, f[1:]), now))
		case "enqueue":
			return describe(q.Enqueue(parseItem(t, f[1:]), now))
		case "rate":
			rate, err := strconv.ParseFloat(f[1], 64)
			if err != nil {
				t.Fatal(err)
			}
			q.SetRate(rate)
			return nil
		case "next":
			i, ok := q.Next(now)
			return []string{fmt.Sprintf("%v %s outstanding=%d", ok, i.ID, q.Outstanding())}
		case "done":
			n, err := strconv.ParseInt(f[2], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			q.Done(f[1], n, now)
			return nil
		case "expire":
			return ids(q.Expire(now))
		case "remove":
			i, ok := q.Remove(f[1], now)
			return []string{fmt.Sprint(ok, " ", i.ID)}
		case "remove-key":
			return ids(q.RemoveKey(f[1], now))
		}
		t.Fatalf("unknown event %q", f[0])
		return nil
	}
	goldentest.Run(t, path, func(_ *testing.T, _, script string) string { return goldentest.ReplayEvents(script, respond) })
}

func parseItem(t *testing.T, f []string) Item {
	item := Item{ID: f[0], Workspace: f[1]}
	for _, field := range f[2:] {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "cost":
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			item.Cost = n
		case "deadline":
			d, err := time.ParseDuration(value)
			if err != nil {
				t.Fatal(err)
			}
			item.Deadline = start.Add(d)
		case "key":
			item.Key = value
		case "completes":
			if value == "yes" {
				item.Rank = CompletesGroup
			}
		case "rank":
			n, err := strconv.Atoi(value)
			if err != nil {
				t.Fatal(err)
			}
			item.Rank = n
		}
	}
	return item
}

func describe(decision Decision) []string {
	lines := []string{fmt.Sprintf("%s wait=%v", decision.Action, decision.ExpectedWait)}
	if decision.Action == Refuse {
		lines[0] += fmt.Sprintf(" reason=%s retry-after=%v", decision.Reason, decision.RetryAfter.Round(time.Millisecond))
	}
	if decision.Displaced != nil {
		lines = append(lines, fmt.Sprintf("displaced %s retry-after=%v",
			decision.Displaced.ID, decision.DisplacedRetryAfter.Round(time.Millisecond)))
	}
	return lines
}

func ids(items []Item) []string {
	var list []string
	for _, i := range items {
		list = append(list, i.ID)
	}
	return []string{fmt.Sprint(list)}
}
