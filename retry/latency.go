package retry

import (
	"slices"
	"time"
)

// maxLatencies is the number of recent latencies kept; of 256, six lie above the 97.5th percentile.
const maxLatencies = 256

// Latencies keeps the most recent latencies of one kind of work.
type Latencies struct {
	recent []time.Duration
	next   int
}

// Observe adds the latency of one finished attempt. It replaces the oldest when maxLatencies are kept.
func (l *Latencies) Observe(d time.Duration) {
	if len(l.recent) < maxLatencies {
		l.recent = append(l.recent, d)
		return
	}
	l.recent[l.next] = d
	l.next = (l.next + 1) % maxLatencies
}

// Count returns the number of latencies kept.
func (l *Latencies) Count() int { return len(l.recent) }

// Quantile returns the q-quantile of the kept latencies, 0 when there are none.
func (l *Latencies) Quantile(q float64) time.Duration {
	if len(l.recent) == 0 {
		return 0
	}
	sorted := slices.Clone(l.recent)
	slices.Sort(sorted)
	i := int(q * float64(len(sorted)))
	return sorted[min(max(i, 0), len(sorted)-1)]
}
