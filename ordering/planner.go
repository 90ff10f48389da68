package ordering

import (
	"math"
	"time"
)

// Planner follows the demand of every pool for the holder of the role. A new holder starts without history and orders
// nothing before the hold times have passed again.
type Planner struct {
	cfg   Config
	pools map[Pool]*poolState
}

// New returns a planner without history.
func New(cfg Config) (*Planner, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Planner{cfg: cfg, pools: map[Pool]*poolState{}}, nil
}

// poolState is the history of one pool.
type poolState struct {
	demand   float64
	lastSeen time.Time
	// above and below are since when the need has been higher or lower than the count ordered; zero when it is not.
	above, below time.Time
	// largest need since below.
	largest int
}

// Plan returns a need when the count of the pool should change. ordered is the count of the last order, or the number
// of live upstreams when nothing was ordered yet.
func (p *Planner) Plan(s Signal, ordered int, now time.Time) (Decision, bool) {
	state := p.observe(s, now)
	count := p.count(s, state.demand)
	switch {
	case count > ordered:
		state.below = time.Time{}
		return p.planUp(s, state, count, ordered, now)
	case count < ordered:
		state.above = time.Time{}
		return p.planDown(s, state, count, ordered, now)
	default:
		state.above, state.below = time.Time{}, time.Time{}
		return Decision{}, false
	}
}

// observe smooths the demand. Refused requests count as busy slots, since they would have run.
func (p *Planner) observe(s Signal, now time.Time) *poolState {
	instant := float64(s.Busy + s.Refused)
	state, ok := p.pools[s.Pool]
	if !ok {
		state = &poolState{demand: instant, lastSeen: now}
		p.pools[s.Pool] = state
		return state
	}
	elapsed := now.Sub(state.lastSeen)
	weight := 1 - math.Exp(-elapsed.Seconds()/p.cfg.Smoothing.Seconds())
	state.demand += weight * (instant - state.demand)
	state.lastSeen = now
	return state
}

func (p *Planner) count(s Signal, demand float64) int {
	count := s.Live
	if s.Live > 0 && s.Slots > 0 {
		slotsEach := float64(s.Slots) / float64(s.Live)
		count = int(math.Ceil(demand / (slotsEach * p.cfg.TargetUtilization)))
	}
	if s.Max > 0 {
		count = min(count, s.Max)
	}
	return max(count, s.Min)
}

func (p *Planner) planUp(s Signal, state *poolState, count, ordered int, now time.Time) (Decision, bool) {
	if state.above.IsZero() {
		state.above = now
	}
	if now.Sub(state.above) < p.cfg.ScaleUpDelay {
		return Decision{}, false
	}
	state.above = time.Time{}
	return Decision{Pool: s.Pool, Count: count, Previous: ordered, Demand: state.demand}, true
}

// planDown gives back only down to the largest need of the hold time, so that a short lull does not cost a start-up.
func (p *Planner) planDown(s Signal, state *poolState, count, ordered int, now time.Time) (Decision, bool) {
	if state.below.IsZero() {
		state.below = now
		state.largest = count
	}
	state.largest = max(state.largest, count)
	if now.Sub(state.below) < p.cfg.ScaleDownDelay {
		return Decision{}, false
	}
	state.below = time.Time{}
	return Decision{Pool: s.Pool, Count: state.largest, Previous: ordered, Demand: state.demand}, true
}
