package batch

import (
	"fmt"
	"testing"
)

// jobWithHints is a job of items with the given estimates of their lengths.
func jobWithHints(hints ...int) *Job {
	var spec Spec
	for i, hint := range hints {
		spec.Items = append(spec.Items, Item{ID: fmt.Sprint("i", i), LengthHint: hint})
	}
	return NewJob(spec, Record{}, Limits{Rate: &TokenRate{}})
}

// mixedHints returns n estimates, one in ten long and the others a tenth of it.
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

// Pattern: a step of many short texts and some that last ten times as long. Guards against a connection for each item at the
// start of a step, and against short texts that are held back until the step is longer than its long texts.
func TestConcurrencyOfMixedTextLengths(t *testing.T) {
	hints := mixedHints(200)
	got := jobWithHints(hints...).Concurrency()
	if got > len(hints)/2 {
		t.Errorf("%d of %d items at once", got, len(hints))
	}
	work := 0
	for _, hint := range hints {
		work += hint
	}
	if duration := work / got; duration > 8000/concurrencyFactor {
		t.Errorf("the work of all items takes %d tokens at %d at once, the long texts %d", duration, got, 8000)
	}
}

// Guards against one estimate that is far too high and holds back all others, and against a pace for a small job.
func TestConcurrencyWithWrongEstimates(t *testing.T) {
	hints := mixedHints(200)
	right := jobWithHints(hints...).Concurrency()
	hints[3] = 1 << 30
	if got := jobWithHints(hints...).Concurrency(); got < right {
		t.Errorf("%d items at once with one wrong estimate, %d without", got, right)
	}
	if got := jobWithHints(make([]int, 200)...).Concurrency(); got < 200 {
		t.Errorf("%d of 200 items at once without any estimate", got)
	}
	if got := jobWithHints(mixedHints(20)...).Concurrency(); got < 20 {
		t.Errorf("%d of 20 items at once", got)
	}
}
