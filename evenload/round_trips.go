package evenload

import (
	"time"

	"github.com/radishshelf/radishshelf/placement"
)

// floorRise is the share by which the shortest response time follows a longer one. A hundred responses replace a floor that
// no longer holds; the same number makes it likely that a short one is among them.
const floorRise = 0.01

// roundTrips estimates how much longer responses take by distance, from the shortest ones: these have least of the
// upstream's own time in them.
type roundTrips struct {
	// floors holds the shortest recent response time by distance; 0 without any.
	floors [placement.OtherRegion + 1]time.Duration
}

func (t *roundTrips) observe(d placement.Distance, took time.Duration) {
	f := &t.floors[d]
	if *f == 0 || took < *f {
		*f = took
		return
	}
	*f += time.Duration(floorRise * float64(took-*f))
}

// trip returns how much longer a response from a distance takes than from nearer by; 0 if nothing nearer was observed. A
// nearer upstream that is slow makes the estimate too small, never one further away.
func (t *roundTrips) trip(d placement.Distance) time.Duration {
	nearest := time.Duration(0)
	for _, f := range t.floors[:d] {
		if f > 0 && (nearest == 0 || f < nearest) {
			nearest = f
		}
	}
	if nearest == 0 {
		return 0
	}
	return max(0, t.floors[d]-nearest)
}
