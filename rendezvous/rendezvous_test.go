package rendezvous

import (
	"fmt"
	"testing"
)

// Guards against candidates that get far more or far fewer subjects than their share, which happens with plain FNV when the
// names differ only in their last letters.
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
			t.Errorf("candidate %d has the highest weight for %d of %d subjects, want 8%% to 12%%", c, n, subjects)
		}
	}
}
