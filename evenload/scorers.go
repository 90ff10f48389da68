package evenload

import (
	"time"

	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/routing"
)

// Costs, in units of utilization: a cost of 0.3 makes a remote upstream the better choice once a local one is 0.3 fuller.
const (
	// sameRegionCost applies to an upstream in another data centre of the same region.
	sameRegionCost = 0.15
	// otherRegionCost applies to an upstream in another region: traffic between regions is billed, and a round trip takes
	// 40 ms.
	otherRegionCost = 0.3
	// backgroundDistanceShare is the share of the cost of distance for a background request: nobody waits for the
	// milliseconds of its round trip, so only its traffic counts.
	backgroundDistanceShare = 0.2
	// connectionCost applies if the send needs a new connection; connections are billed.
	connectionCost = 0.2
	// callerShareCost and backgroundShareCost apply to an upstream to which this host recently sent as many requests as to
	// the others on average, and up to maxShare times the cost to one with more, if all upstreams are idle. Own sends are
	// known exactly, so no host acts on what others see at the same time. A caller's request opens a connection in its own
	// data centre instead of using the same upstream always, but is not sent further for it, since its caller would wait
	// for the round trip; for a background request the share counts more than a connection to another region.
	callerShareCost     = 0.12
	backgroundShareCost = 0.3
	maxShare            = 2
	// evenUntil is the mean utilization of the upstreams from which on taking turns costs nothing more: what counts then is
	// the wait. Half full upstreams have a queue now and then.
	evenUntil = 0.5
	// tieBreakCost limits the random term that spreads requests over equal upstreams.
	tieBreakCost = 0.01
	// isolationCost keeps other requests away from an upstream that runs a crash suspect, as long as there is an
	// alternative.
	isolationCost = 1
	// suspectCost ranks an upstream whose last request failed behind all healthy ones.
	suspectCost = 4
)

// scorers returns all scorers. draw returns a random number from 0 to 1.
func scorers(draw func() float64) []routing.Scorer[Request, Option] {
	return []routing.Scorer[Request, Option]{
		scorer{"wait", waitCost},
		distanceScorer{},
		scorer{"connection", when(connectionCost, func(o *Option) bool { return !o.Connected })},
		scorer{"suspect", when(suspectCost, func(o *Option) bool { return o.Suspect })},
		scorer{"busy", when(suspectCost, func(o *Option) bool { return o.Busy })},
		scorer{"isolation", when(isolationCost, func(o *Option) bool { return o.Isolated })},
		scorer{"tried", when(2*suspectCost, func(o *Option) bool { return o.Tried })},
		shareScorer{},
		scorer{"tie", func(*Option) float64 { return draw() * tieBreakCost }},
	}
}

// scorer is a named cost that depends on the upstream only.
type scorer struct {
	name string
	cost func(o *Option) float64
}

func (s scorer) Name() string { return s.name }

func (s scorer) Cost(_ *Request, o *Option, _ time.Time) float64 { return s.cost(o) }

// when returns a cost that applies under a condition.
func when(cost float64, applies func(o *Option) bool) func(o *Option) float64 {
	return func(o *Option) float64 {
		if applies(o) {
			return cost
		}
		return 0
	}
}

// waitCost is the expected utilization with the request, by upstreams that are equally fast.
func waitCost(o *Option) float64 {
	return (float64(o.Own) + o.Peers + 1) / o.Slots * o.Slowness
}

// shareScorer makes requests take turns among upstreams while these have room.
type shareScorer struct{}

func (shareScorer) Name() string { return "share" }

func (shareScorer) Cost(req *Request, o *Option, _ time.Time) float64 {
	cost := callerShareCost
	if req.Background {
		cost = backgroundShareCost
	}
	return cost * max(0, 1-req.Utilization/evenUntil) * min(maxShare, o.Share)
}

// distanceScorer adds the cost of the round trip and the traffic to an upstream in another data centre.
type distanceScorer struct{}

func (distanceScorer) Name() string { return "distance" }

func (distanceScorer) Cost(req *Request, o *Option, _ time.Time) float64 {
	cost := 0.0
	switch o.Distance {
	case placement.SameDataCentre:
	case placement.SameRegion:
		cost = sameRegionCost
	default:
		cost = otherRegionCost
	}
	if req.Background {
		cost *= backgroundDistanceShare
	}
	return cost
}
