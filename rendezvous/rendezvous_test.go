package rendezvous

import (
	"fmt"
	"testing"
)

// Guards against candidates that win far more or far fewer subjects than their share, as names that differ only in their
// last letters did with the plain hash.
func TestSubjectsAreDistributedEvenly(t *testing.T) {
	const candidates, subjects = 10, 10000
	wins := make([]int, candidates)
	for s := range subjects {
		best := 0
		for c := range candidates {
			if Weight(fmt.Sprint("job-", s), fmt.Sprint("host-", c)) > Weight(fmt.Sprint("job-", s), fmt.Sprint("host-", best)) {
				best = c
			}
		}
		wins[best]++
	}
	for c, n := range wins {
		if n < subjects/candidates*8/10 || n > subjects/candidates*12/10 {
			t.Errorf("candidate %d wins %d of %d", c, n, subjects)
		}
	}
}
