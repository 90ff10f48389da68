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

// failedFor is how long a peer through which a call failed comes after all others. The store often turns several hosts
// away at once, and for seconds.
const failedFor = 3 * time.Second

// wayOrder remembers which peers reach the store.
type wayOrder struct {
	// best is the peer through which the last call went.
	best string
	// failedUntil holds the peers that come last.
	failedUntil map[string]time.Time
}

func newWayOrder() wayOrder { return wayOrder{failedUntil: map[string]time.Time{}} }

func (o *wayOrder) worked(name string) {
	o.best = name
	delete(o.failedUntil, name)
}

func (o *wayOrder) failed(name string, now time.Time) {
	if o.best == name {
		o.best = ""
	}
	o.failedUntil[name] = now.Add(failedFor)
}

// order returns the peers as they are to be tried: the one that worked last, then the others by chance, so that hosts that
// are turned away together do not all ask the same one, and those that failed last.
func (o *wayOrder) order(peers []Relay, now time.Time) []Relay {
	for name, until := range o.failedUntil {
		if !now.Before(until) {
			delete(o.failedUntil, name)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	place := func(w Relay) int {
		switch _, failed := o.failedUntil[w.Name]; {
		case failed:
			return 2
		case w.Name == o.best:
			return 0
		default:
			return 1
		}
	}
	slices.SortStableFunc(peers, func(a, b Relay) int { return place(a) - place(b) })
	return peers
}
