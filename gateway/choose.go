package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Costs of a choice, in units of the utilisation of an upstream: an upstream further away is taken when a nearer one is
// that much fuller.
const (
	// otherDataCentreCost is for an upstream in another data centre of the same region.
	otherDataCentreCost = 0.15
	// otherRegionCost is for an upstream in another region, where bytes are paid for and a round trip takes 40 ms.
	otherRegionCost = 0.3
	// connectionCost is for a send that needs a new connection; connections are paid for.
	connectionCost = 0.2
	// tieBreak spreads requests over equal upstreams.
	tieBreak = 0.01
	// isolationCost keeps requests away from an upstream at which one runs that may end it, while there are others.
	isolationCost = 1
	// suspectCost puts an upstream whose last request failed behind all sound ones.
	suspectCost = 4
)

// chooseService picks a target of a route by weight.
func chooseService(route *serving.Route) (string, bool) {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service, true
	}
	sum := 0.0
	for _, t := range route.Targets {
		sum += t.Weight
	}
	at := rand.Float64() * sum
	for _, t := range route.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service, true
		}
	}
	return "", false
}

// choosePlain picks an upstream of a service for a request that runs on no model. The ones in tried come last, and not
// at all when again is false. The caller holds the lock.
func (g *Gateway) choosePlain(service string, tried map[string]bool, allowTried bool, now time.Time) (upstreams.Entry, bool) {
	var best upstreams.Entry
	bestCost, found := 0.0, false
	for _, e := range g.upstreams.Ready(service) {
		if tried[e.ID] && !allowTried {
			continue
		}
		cost := g.sendCost(e, now)
		if tried[e.ID] {
			cost += 2 * suspectCost
		}
		if g.healthOf(e.ID).IsBusy("", now) {
			cost += suspectCost
		}
		if g.suspects.isolated[e.ID] > 0 {
			cost += isolationCost
		}
		if !found || cost < bestCost {
			best, bestCost, found = e, cost, true
		}
	}
	return best, found
}

// sendCost is the cost of sending one more request to an upstream. The caller holds the lock.
func (g *Gateway) sendCost(e upstreams.Entry, now time.Time) float64 {
	h := g.healthOf(e.ID)
	others, _ := g.loadOfPeers(e.ID)
	utilisation := float64(g.inFlight[e.ID]+others+1) / float64(max(e.Slots, 1))
	cost := utilisation*g.slowness(e, now) + g.distanceCost(e) + rand.Float64()*tieBreak
	if !g.hasIdleConnection(e.ID, now) {
		cost += connectionCost
	}
	if !h.Allowed(now, g.inFlight[e.ID]) {
		cost += suspectCost
	}
	return cost
}

func (g *Gateway) distanceCost(e upstreams.Entry) float64 {
	switch g.distanceTo(e) {
	case placement.SameDataCentre:
		return 0
	case placement.SameRegion:
		return otherDataCentreCost
	default:
		return otherRegionCost
	}
}

// distanceTo tells how far an upstream is from this process.
func (g *Gateway) distanceTo(e upstreams.Entry) placement.Distance {
	switch {
	case e.DataCentre == g.opts.DataCentre:
		return placement.SameDataCentre
	case g.region(e.DataCentre) == g.region(g.opts.DataCentre):
		return placement.SameRegion
	default:
		return placement.OtherRegion
	}
}

// slowness compares the pace of an upstream with the fastest of its service. The caller holds the lock.
func (g *Gateway) slowness(e upstreams.Entry, now time.Time) float64 {
	pace := g.healthOf(e.ID).Pace(now)
	if pace == 0 {
		return 1
	}
	return float64(pace) / float64(min(pace, g.fastestPace(e.Service, now)))
}

// fastestTTL is how long a search for the fastest upstream holds; paces are averages over several observations.
const fastestTTL = 50 * time.Millisecond

// fastestEntry is the best pace among the upstreams of a service.
type fastestEntry struct {
	pace time.Duration
	at   time.Time
}

// fastestPace returns the best pace among the upstreams of a service. The caller holds the lock.
func (g *Gateway) fastestPace(service string, now time.Time) time.Duration {
	f := g.fastest[service]
	if f.pace > 0 && now.Sub(f.at) < fastestTTL {
		return f.pace
	}
	f = fastestEntry{pace: math.MaxInt64, at: now}
	for _, e := range g.upstreams.Ready(service) {
		if p := g.healthOf(e.ID).Pace(now); p > 0 {
			f.pace = min(f.pace, p)
		}
	}
	g.fastest[service] = f
	return f.pace
}
