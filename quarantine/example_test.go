package quarantine_test

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/quarantine"
)

// After one death a request runs alone, after two it is refused for a time.
func Example() {
	now := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	list := quarantine.New(quarantine.DefaultConfig())
	suspect := quarantine.Fingerprint("north", "planner", []byte(`{"prompt":"x"}`))
	fmt.Println(list.Check(suspect, now).Action)
	list.Death("engine-1", "run-1", []string{suspect}, now)
	fmt.Println(list.Check(suspect, now).Action)
	list.Death("engine-2", "run-1", []string{suspect}, now)
	verdict := list.Check(suspect, now.Add(time.Minute))
	fmt.Println(verdict.Action, verdict.Remaining)
	// Output:
	// run
	// run-alone
	// refuse 9m0s
}

// A run that broke off counts once its upstream is known to have ended. What two processes saw adds up.
func ExampleLedger() {
	now := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	here, there := quarantine.NewLedger(quarantine.DefaultLedgerConfig()), quarantine.NewLedger(quarantine.DefaultLedgerConfig())
	suspect := quarantine.NewKey().Fingerprint("north", "POST /quote", []byte("the same each time"))

	first, second := quarantine.End{Upstream: "desk-1"}, quarantine.End{Upstream: "desk-2"}
	here.Broke(suspect, first, 0, now)
	fmt.Println(here.Check(suspect, now).Action)
	here.Ended(first, now)
	fmt.Println(here.Check(suspect, now).Action)

	there.Broke(suspect, second, 0, now)
	there.Ended(second, now)
	seen, _ := there.Case(suspect)
	here.Take(suspect, seen, now)
	verdict := here.Check(suspect, now)
	fmt.Println(verdict.Action, verdict.Remaining)

	here.Answered(suspect)
	fmt.Println(here.Check(suspect, now).Action)
	// Output:
	// run
	// run-alone
	// refuse 2s
	// run
}
