package batch

import (
	"testing"
	"time"
)

// Guards against a job that opens a connection for each of its items, and against one that takes several times as long as
// its longest text because too few items run.
func TestConcurrency(t *testing.T) {
	for _, c := range []struct {
		total int
		mean  time.Duration
		want  int
	}{
		{8, time.Second, 24}, {232, 600 * time.Millisecond, 199}, {80, 900 * time.Millisecond, 103}, {80, 0, 24},
	} {
		if got := Concurrency(c.total, c.mean); got != c.want {
			t.Errorf("%d items of %s: %d at a time, want %d", c.total, c.mean, got, c.want)
		}
	}
}
