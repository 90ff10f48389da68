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
