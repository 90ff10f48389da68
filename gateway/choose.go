package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Cost terms for the choice of an upstream, in units of utilization: a cost of 0.3 makes a remote upstream the better
// choice once a local one is 0.3 fuller.
const (
	// sameRegionCost applies to an upstream in another data centre of the same region.
	sameRegionCost = 0.15
	// otherRegionCost applies to an upstream in another region: traffic between regions is billed, and a round trip takes
	// 40 ms.
	otherRegionCost = 0.3
	// connectionCost applies if the send needs a new connection; connections are billed.
	connectionCost = 0.2
	// tieBreakCost limits the random term that spreads requests over equal upstreams.
	tieBreakCost = 0.01
	// isolationCost keeps other requests away from an upstream that runs a crash suspect, as long as there is an
	// alternative.
	isolationCost = 1
	// suspectCost ranks an upstream whose last request failed behind all healthy ones.
	suspectCost = 4
)

// chooseService picks a target service of a route at random by weight, among those that homes and evacuations leave an
// upstream. It returns false if the route has no target. The caller holds g.mu.
func (g *Gateway) chooseService(route *serving.Route, home homes.Regions) (string, bool) {
	targets := route.Targets
	if len(targets) > 1 && (home.Restricted() || g.evacuations.Any()) {
		usable := slices.DeleteFunc(slices.Clone(targets), func(t serving.Target) bool {
			return len(g.upstreams.Ready(t.Service)) > 0 && len(g.candidates(sendScope{service: t.Service, homes: home})) == 0
		})
		if len(usable) > 0 {
			targets = usable
		}
	}
	if len(targets) == 1 {
		return targets[0].Service, true
	}
	sum := 0.0
	for _, t := range targets {
		sum += t.Weight
	}
	at := rand.Float64() * sum
	for _, t := range targets {
		if at -= t.Weight; at < 0 {
			return t.Service, true
		}
	}
	return "", false
}

// plainChoice says among which upstreams a request that needs no model may choose.
type plainChoice struct {
	scope sendScope
	// tried upstreams are ranked last, or left out unless allowTried is set.
	tried      map[string]bool
	allowTried bool
	// background requests leave upstreams without a limit to those of callers once these have work for all their slots.
	background bool
	// inTurn is set for a request that has waited for its share of a limit. Others leave the limited upstreams of a
	// service to those that wait.
	inTurn bool
}

// choosePlain picks the upstream with the lowest cost for a request. limited reports whether upstreams were left out
// because of their limits. The caller holds g.mu.
func (g *Gateway) choosePlain(c plainChoice, now time.Time) (best upstreams.Entry, found, limited bool) {
	bestCost := 0.0
	hasLimits := g.hasLimits(c.scope.service, now)
	keepsOrder := !c.inTurn && g.limitQueueLen(c.scope.service) > 0
	for _, e := range g.candidates(c.scope) {
		tried := c.tried[e.ID]
		if tried && !c.allowTried {
			continue
		}
		if hasLimits && (!g.hasRoom(e, c.background, now) || keepsOrder && g.limits.Limited(e, now)) {
			limited = true
			continue
		}
		cost := g.sendCost(e, now)
		if tried {
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
	return best, found, limited
}

// maxBackgroundLoad is the multiple of an upstream's slots from which on it takes no more background requests in place of
// limited upstreams. A few requests that wait at the upstream keep its slots in use.
const maxBackgroundLoad = 2

// hasRoom reports whether an upstream of a service with limits may get one more request: by its limit or, if it has none,
// by its health and load. Without this, an upstream without a limit would have to refuse the load of all limited ones. The caller
// holds g.mu.
func (g *Gateway) hasRoom(e upstreams.Entry, background bool, now time.Time) bool {
	h := g.healthOf(e.ID)
	switch {
	case g.limits.Limited(e, now):
		return g.limits.Allowed(e, now) > 0
	case h.IsBusy("", now), !h.Allowed(now, g.inFlight[e.ID]):
		return false
	case !background:
		return true
	}
	peerRequests, _ := g.loadOfPeers(e.ID)
	return float64(g.inFlight[e.ID]+peerRequests) < maxBackgroundLoad*g.usableSlots(e, now)
}

// hasLimits reports whether an upstream of a service has a limit. The caller holds g.mu.
func (g *Gateway) hasLimits(service string, now time.Time) bool {
	return g.limits.Len() > 0 && slices.ContainsFunc(g.upstreams.Ready(service), func(e upstreams.Entry) bool {
		return g.limits.Limited(e, now)
	})
}

// sendCost returns the cost of one more request at an upstream. The caller holds g.mu.
func (g *Gateway) sendCost(e upstreams.Entry, now time.Time) float64 {
	h := g.healthOf(e.ID)
	peerRequests, _ := g.loadOfPeers(e.ID)
	utilization := float64(g.inFlight[e.ID]+peerRequests+1) / g.usableSlots(e, now)
	cost := utilization*g.slowness(e, now) + g.distanceCost(e) + rand.Float64()*tieBreakCost
	if !g.hasIdleConnection(e.ID, now) {
		cost += connectionCost
	}
	if !h.Allowed(now, g.inFlight[e.ID]) {
		cost += suspectCost
	}
	return cost
}

// distanceCost returns the cost of the distance to an upstream.
func (g *Gateway) distanceCost(e upstreams.Entry) float64 {
	switch g.distanceTo(e) {
	case placement.SameDataCentre:
		return 0
	case placement.SameRegion:
		return sameRegionCost
	default:
		return otherRegionCost
	}
}

// distanceTo returns the distance between this process and an upstream.
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

// slowness returns the pace of an upstream relative to the fastest of its service; 1 is the fastest or unknown. The
// caller holds g.mu.
func (g *Gateway) slowness(e upstreams.Entry, now time.Time) float64 {
	pace := g.healthOf(e.ID).Pace(now)
	if pace == 0 {
		return 1
	}
	return float64(pace) / float64(min(pace, g.fastestPace(e.Service, now)))
}

// fastestPaceTTL is how long the fastest pace of a service is cached. Paces are averages over several observations, so
// they change slowly.
const fastestPaceTTL = 50 * time.Millisecond

// cachedPace is the lowest pace among the upstreams of a service, and when it was computed.
type cachedPace struct {
	pace time.Duration
	at   time.Time
}

// fastestPace returns the lowest pace among the upstreams of a service; a pace is the mean time for one unit of work.
// The caller holds g.mu.
func (g *Gateway) fastestPace(service string, now time.Time) time.Duration {
	f := g.fastestPaces[service]
	if f.pace > 0 && now.Sub(f.at) < fastestPaceTTL {
		return f.pace
	}
	f = cachedPace{pace: math.MaxInt64, at: now}
	for _, e := range g.upstreams.Ready(service) {
		if p := g.healthOf(e.ID).Pace(now); p > 0 {
			f.pace = min(f.pace, p)
		}
	}
	g.fastestPaces[service] = f
	return f.pace
}
