package quarantine_test

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/quarantine"
)

// After one death a request may only run alone; after two it is refused until its retention ends.
func Example() {
	now := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	list := quarantine.New(quarantine.DefaultConfig())
	suspect := quarantine.Fingerprint("north", "planner", []byte(`{"prompt":"x"}`))
	fmt.Println(list.Check(suspect, now).Action)
	list.RecordDeath("engine-1", "run-1", []string{suspect}, now)
	fmt.Println(list.Check(suspect, now).Action)
	list.RecordDeath("engine-2", "run-1", []string{suspect}, now)
	decision := list.Check(suspect, now.Add(time.Minute))
	fmt.Println(decision.Action, decision.Remaining)
	// Output:
	// run
	// run-alone
	// refuse 9m0s
}

// A broken run counts once its upstream is known to have ended. The ends seen by two processes add up.
func ExampleLedger() {
	now := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	here, there := quarantine.NewLedger(quarantine.DefaultLedgerConfig()), quarantine.NewLedger(quarantine.DefaultLedgerConfig())
	suspect := quarantine.NewKey().Fingerprint("north", "POST /quote", []byte("the same each time"))

	first, second := quarantine.UpstreamIncarnation{Upstream: "desk-1"}, quarantine.UpstreamIncarnation{Upstream: "desk-2"}
	here.RecordBrokenRun(suspect, first, 0, now)
	fmt.Println(here.Check(suspect, now).Action)
	here.RecordEnd(first, now)
	fmt.Println(here.Check(suspect, now).Action)

	there.RecordBrokenRun(suspect, second, 0, now)
	there.RecordEnd(second, now)
	seen, _ := there.Case(suspect)
	here.Merge(suspect, seen, now)
	decision := here.Check(suspect, now)
	fmt.Println(decision.Action, decision.Remaining)

	here.RecordResponse(suspect)
	fmt.Println(here.Check(suspect, now).Action)
	// Output:
	// run
	// run-alone
	// refuse 2s
	// run
}
