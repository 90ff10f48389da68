package lease_test

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/lease"
)

// A candidate finds no row, writes one, and may act for part of the lease. The program performs the actions.
func Example() {
	now := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	candidate, err := lease.New(lease.DefaultConfig("entry-1"))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, action := range candidate.Tick(now) {
		fmt.Println(action)
	}
	actions := candidate.Observed(lease.Observation{}, now) // the row is absent
	for _, action := range append(actions, candidate.Tick(now)...) {
		fmt.Println(action)
	}
	for _, action := range candidate.Written(1, now) {
		fmt.Println(action)
	}
	term, ok := candidate.MayAct(now.Add(4 * time.Second))
	fmt.Println("after 4 s:", term, ok)
	term, ok = candidate.MayAct(now.Add(5 * time.Second))
	fmt.Println("after 5 s without a renewal:", term, ok)
	// Output:
	// read
	// write holder="entry-1" term=1 renewal=0 if revision=0
	// acquired term=1
	// after 4 s: 1 true
	// after 5 s without a renewal: 0 false
}
