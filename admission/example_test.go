package admission_test

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/radishshelf/radishshelf/admission"
)

// One request runs at a time; the next one waits, and one that could not finish before its deadline is refused at once.
func Example() {
	now := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	cfg := admission.DefaultConfig()
	cfg.WindowItems, cfg.TokensPerSecond = 1, 100
	queue := admission.New(cfg, rand.New(rand.NewSource(1)))
	for _, item := range []admission.Item{
		{ID: "a", Workspace: "north", Cost: 100},
		{ID: "b", Workspace: "south", Cost: 1000},
		{ID: "c", Workspace: "south", Cost: 100, Deadline: now.Add(time.Second)},
	} {
		decision := queue.Offer(item, now)
		fmt.Printf("%s: %s %q\n", item.ID, decision.Action, decision.Reason)
	}
	queue.Done("a", 80, now.Add(time.Second))
	next, ok := queue.Next(now.Add(time.Second))
	fmt.Println("next:", next.ID, ok)
	// Output:
	// a: admit ""
	// b: wait ""
	// c: refuse "deadline"
	// next: b true
}
