package rowrelay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Relay is a peer through which the store may be reached.
type Relay struct {
	// Name identifies the peer, and Region is where it is.
	Name, Region string
	Rows         hosting.Rows
}

// failurePenalty is how long a peer is tried last after a call through it failed. The store often refuses several hosts
// at once, for seconds.
const failurePenalty = 3 * time.Second

// relayRanking orders peers by the results of recent calls through them.
type relayRanking struct {
	// lastWorking is the peer through which the last call reached the store.
	lastWorking string
	// failedUntil maps each peer that is tried last to the end of its penalty.
	failedUntil map[string]time.Time
}

func newRelayRanking() relayRanking { return relayRanking{failedUntil: map[string]time.Time{}} }

func (r *relayRanking) recordSuccess(name string) {
	r.lastWorking = name
	delete(r.failedUntil, name)
}

func (r *relayRanking) recordFailure(name string, now time.Time) {
	if r.lastWorking == name {
		r.lastWorking = ""
	}
	r.failedUntil[name] = now.Add(failurePenalty)
}

// rank sorts relays in the order to try them: the one that worked last, then the others in random order, and last those
// that failed recently. The random order keeps hosts that are refused together from all calling the same peer.
func (r *relayRanking) rank(relays []Relay, now time.Time) []Relay {
	for name, until := range r.failedUntil {
		if !now.Before(until) {
			delete(r.failedUntil, name)
		}
	}
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	position := func(relay Relay) int {
		switch _, failed := r.failedUntil[relay.Name]; {
		case failed:
			return 2
		case relay.Name == r.lastWorking:
			return 0
		default:
			return 1
		}
	}
	slices.SortStableFunc(relays, func(a, b Relay) int { return position(a) - position(b) })
	return relays
}
