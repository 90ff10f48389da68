package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/ordering"
	"github.com/radishshelf/radishshelf/outcome"
)

// refusedDemand counts the requests that this entry refused for lack of capacity, by pool kind.
type refusedDemand struct {
	mu     sync.Mutex
	counts map[string]int
}

// recordRefusal counts a refusal that more upstreams would have avoided.
func (d *refusedDemand) recordRefusal(target destination, kind outcome.Kind) {
	if kind != outcome.KindNoUpstream && kind != outcome.KindOverloaded && kind != outcome.KindDeadline {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts == nil {
		d.counts = map[string]int{}
	}
	d.counts[poolKind(target.kind, target.serves)]++
}

// takeCounts returns the counts since the last call and resets them.
func (d *refusedDemand) takeCounts() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.counts
	d.counts = nil
	return counts
}

// poolKind returns the kind of an ordering.Pool.
func poolKind(kind, serves string) string { return kind + ":" + serves }

// Signals returns the load of every pool for the planning of orders. Refusals are those of this entry since the last
// call; they count for its own data centre.
func (e *Entry) Signals(now time.Time) []ordering.Signal {
	view := e.config.View()
	pools := map[ordering.Pool]*ordering.Signal{}
	for _, u := range view.Upstreams() {
		e.poolSignal(pools, view, ordering.Pool{DataCentre: u.DataCentre, Kind: poolKind(u.Kind, u.Serves)}, u.Serves)
	}
	for _, u := range e.fleet.Upstreams(now) {
		if u.Serves == "" || u.Status == membership.Dead {
			continue
		}
		s := e.poolSignal(pools, view, ordering.Pool{DataCentre: u.DataCentre, Kind: poolKind(u.Kind, u.Serves)}, u.Serves)
		s.Busy += u.Load.Running + u.Load.Queued
		if u.Status != membership.Leaving {
			s.Live++
			s.Slots += u.Load.Slots
		}
	}
	for kind, count := range e.refusedDemand.takeCounts() {
		if s, ok := pools[ordering.Pool{DataCentre: e.settings.DataCentre, Kind: kind}]; ok {
			s.Refused = count
		}
	}
	list := make([]ordering.Signal, 0, len(pools))
	for _, pool := range slices.SortedFunc(maps.Keys(pools), comparePools) {
		list = append(list, *pools[pool])
	}
	return list
}

// poolSignal returns the signal of a pool and adds it to pools if it is missing.
func (e *Entry) poolSignal(
	pools map[ordering.Pool]*ordering.Signal, view *fleetconfig.View, pool ordering.Pool, serves string,
) *ordering.Signal {
	if s, ok := pools[pool]; ok {
		return s
	}
	limits := view.Effective(fleetconfig.Scope{Policy: serves, DataCentre: pool.DataCentre})
	s := &ordering.Signal{Pool: pool, Min: limits.MinUpstreams, Max: limits.MaxUpstreams}
	pools[pool] = s
	return s
}

func comparePools(a, b ordering.Pool) int {
	if a.String() < b.String() {
		return -1
	}
	return 1
}
