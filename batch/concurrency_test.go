package batch

import (
	"fmt"
	"testing"
)

// jobWithHints returns a job with one item per length hint.
func jobWithHints(hints ...int) *Job {
	var spec Spec
	for i, hint := range hints {
		spec.Items = append(spec.Items, Item{ID: fmt.Sprint("i", i), LengthHint: hint})
	}
	return NewJob(spec, Record{}, Limits{Rate: &TokenRate{}})
}

// mixedHints returns n length hints: one in ten is long, the others are a tenth of its length.
func mixedHints(n int) []int {
	hints := make([]int, n)
	for i := range hints {
		hints[i] = 800
		if i%10 == 0 {
			hints[i] = 8000
		}
	}
	return hints
}

// Guards against one connection per item at the start of a step with many short texts and some that are ten times as
// long, and against short texts being held back until the step takes longer than its long texts.
func TestConcurrencyOfMixedTextLengths(t *testing.T) {
	hints := mixedHints(200)
	got := jobWithHints(hints...).Concurrency()
	if got > len(hints)/2 {
		t.Errorf("%d of %d items run at once", got, len(hints))
	}
	work := 0
	for _, hint := range hints {
		work += hint
	}
	if duration := work / got; duration > 8000/concurrencyFactor {
		t.Errorf("all items take the time of %d tokens at a concurrency of %d, a long text takes %d", duration, got, 8000)
	}
}

// Guards against one estimate that is far too high holding back all other items, and against a concurrency limit on a
// small job.
func TestConcurrencyWithWrongEstimates(t *testing.T) {
	hints := mixedHints(200)
	right := jobWithHints(hints...).Concurrency()
	hints[3] = 1 << 30
	if got := jobWithHints(hints...).Concurrency(); got < right {
		t.Errorf("%d items run at once with one wrong estimate, %d without it", got, right)
	}
	if got := jobWithHints(make([]int, 200)...).Concurrency(); got < 200 {
		t.Errorf("%d of 200 items run at once without any estimate", got)
	}
	if got := jobWithHints(mixedHints(20)...).Concurrency(); got < 20 {
		t.Errorf("%d of 20 items run at once", got)
	}
}
