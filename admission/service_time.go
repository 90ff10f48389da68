package admission

import (
	"math/bits"
	"time"

	"github.com/radishshelf/radishshelf/retry"
)

const (
	// serviceQuantile is high, because an item that is admitted and misses its deadline has wasted its tokens.
	serviceQuantile = 0.95
	// minServiceTimes is the number of observations required; an estimate from fewer is noise.
	minServiceTimes = 20
)

// serviceTimes keeps observed running times by the magnitude of the cost, so that a plain call and a generation in the
// same queue have separate estimates.
type serviceTimes struct {
	byMagnitude map[int]*retry.Latencies
}

func newServiceTimes() serviceTimes {
	return serviceTimes{byMagnitude: make(map[int]*retry.Latencies)}
}

func (s serviceTimes) observe(cost int64, duration time.Duration) {
	m := magnitude(cost)
	if s.byMagnitude[m] == nil {
		s.byMagnitude[m] = &retry.Latencies{}
	}
	s.byMagnitude[m].Observe(duration)
}

// estimate returns the expected running time of an item, 0 while there are too few observations. It returns at most
// half of the time until the deadline: otherwise a class of items that once ran too long would be refused forever, and
// no new running times could be observed.
func (s serviceTimes) estimate(item Item, now time.Time) time.Duration {
	observed := s.byMagnitude[magnitude(item.Cost)]
	if item.Deadline.IsZero() || observed == nil || observed.Count() < minServiceTimes {
		return 0
	}
	return min(observed.Quantile(serviceQuantile), item.Deadline.Sub(now)/2)
}

// magnitude groups costs by powers of two, which gives at most 64 groups.
func magnitude(cost int64) int { return bits.Len64(uint64(cost)) }
