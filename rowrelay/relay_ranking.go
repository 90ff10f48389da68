package rowrelay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Relay is a peer through which the store may be reached.
type Relay struct {
	// Name tells peers apart.
	Name string
	Rows hosting.Rows
}

// failurePenalty is how long a peer through which a call failed comes after all others. The store often turns several hosts
// away at once, and for seconds.
const failurePenalty = 3 * time.Second

// relayRanking remembers which peers reach the store.
type relayRanking struct {
	// lastWorking is the peer through which the last call went.
	lastWorking string
	// failedUntil holds the peers that come last.
	failedUntil map[string]time.Time
}

func newRelayRanking() relayRanking { return relayRanking{failedUntil: map[string]time.Time{}} }

func (o *relayRanking) recordSuccess(name string) {
	o.lastWorking = name
	delete(o.failedUntil, name)
}

func (o *relayRanking) recordFailure(name string, now time.Time) {
	if o.lastWorking == name {
		o.lastWorking = ""
	}
	o.failedUntil[name] = now.Add(failurePenalty)
}

// rank returns the peers as they are to be tried: the one that worked last, then the others by chance, so that hosts that
// are turned away together do not all ask the same one, and those that failed last.
func (o *relayRanking) rank(relays []Relay, now time.Time) []Relay {
	for name, until := range o.failedUntil {
		if !now.Before(until) {
			delete(o.failedUntil, name)
		}
	}
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	position := func(w Relay) int {
		switch _, failed := o.failedUntil[w.Name]; {
		case failed:
			return 2
		case w.Name == o.lastWorking:
			return 0
		default:
			return 1
		}
	}
	slices.SortStableFunc(relays, func(a, b Relay) int { return position(a) - position(b) })
	return relays
}
