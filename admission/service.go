package admission

import (
	"math/bits"
	"time"

	"github.com/radishshelf/radishshelf/retry"
)

const (
	// serviceQuantile is a high quantile, because an item that is admitted and misses its deadline has wasted its tokens.
	serviceQuantile = 0.95
	// minServices is how many running times must be known; an estimate from fewer is noise.
	minServices = 20
)

// services learns running times by the magnitude of the cost, so that a plain call and a generation in the same queue
// have estimates of their own.
type services struct {
	byMagnitude map[int]*retry.Latencies
}

func newServices() services {
	return services{byMagnitude: make(map[int]*retry.Latencies)}
}

func (s services) observe(cost int64, running time.Duration) {
	m := magnitude(cost)
	if s.byMagnitude[m] == nil {
		s.byMagnitude[m] = &retry.Latencies{}
	}
	s.byMagnitude[m].Observe(running)
}

// estimate returns the running time to expect, 0 while too few are known. It takes at most half of the time that is
// left: otherwise a class of items that ran too long once would be refused for ever, and nothing new could be learned.
func (s services) estimate(item Item, now time.Time) time.Duration {
	observed := s.byMagnitude[magnitude(item.Cost)]
	if item.Deadline.IsZero() || observed == nil || observed.Count() < minServices {
		return 0
	}
	return min(observed.Quantile(serviceQuantile), item.Deadline.Sub(now)/2)
}

// magnitude groups costs by powers of two; there are at most 64 groups.
func magnitude(cost int64) int { return bits.Len64(uint64(cost)) }
