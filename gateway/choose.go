package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/evenload"
	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/upstreams"
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
	candidates := g.candidates(c.scope)
	request := evenload.Request{AllowTried: c.allowTried, Yields: !c.inTurn && g.limitQueueLen(c.scope.service) > 0, Background: c.background}
	option, limited := g.chooser.Choose(request, g.optionsFor(c, candidates, now), now)
	if option == nil {
		return upstreams.Entry{}, false, limited
	}
	i := slices.IndexFunc(candidates, func(e upstreams.Entry) bool { return e.ID == option.ID })
	return candidates[i], true, limited
}

// optionsFor describes the candidates of a request. The caller holds g.mu.
func (g *Gateway) optionsFor(c plainChoice, candidates []upstreams.Entry, now time.Time) []evenload.Option {
	hasLimits := g.hasLimits(c.scope.service, now)
	peers, times := g.expectedPeerLoad(c.scope.service, now), g.responseTimesOf(c.scope.service)
	options := make([]evenload.Option, 0, len(candidates))
	for _, e := range candidates {
		h := g.healthOf(e.ID)
		options = append(options, evenload.Option{
			ID: e.ID, Slots: g.usableSlots(e, now), Own: g.inFlight[e.ID], Peers: peers.Expected(e.ID, now),
			Share: times.Recent(e.ID, now), Slowness: times.Slowness(e.ID, now), Distance: g.distanceTo(e), Connected: g.hasIdleConnection(e.ID, now),
			Suspect: !h.Allowed(now), Busy: h.IsBusy("", now), Isolated: g.suspects.isolated[e.ID] > 0,
			Tried: c.tried[e.ID], Limited: hasLimits && g.limits.Limited(e, now),
			Full: hasLimits && !g.hasRoom(e, c.background, now),
		})
	}
	return options
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
	case h.IsBusy("", now), !h.Allowed(now):
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
