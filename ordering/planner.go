package ordering

import (
	"math"
	"time"
)

// Planner tracks the demand of every pool for the holder of the role. A new holder starts without history and decides
// no change before the scaling delays have passed again.
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
	demand     float64
	observedAt time.Time
	// aboveSince and belowSince are the times since which the required count has been above or below the ordered count, or
	// zero if it is not.
	aboveSince, belowSince time.Time
	// peakCount is the highest required count since belowSince.
	peakCount int
}

// Plan returns a decision and true if the count of the pool should change. ordered is the count of the last order, or
// the number of live upstreams if nothing was ordered yet.
func (p *Planner) Plan(s Signal, ordered int, now time.Time) (Decision, bool) {
	state := p.observe(s, now)
	count := p.requiredCount(s, state.demand)
	switch {
	case count > ordered:
		state.belowSince = time.Time{}
		return p.planScaleUp(s, state, count, ordered, now)
	case count < ordered:
		state.aboveSince = time.Time{}
		return p.planScaleDown(s, state, count, ordered, now)
	default:
		state.aboveSince, state.belowSince = time.Time{}, time.Time{}
		return Decision{}, false
	}
}

// observe updates the smoothed demand of the pool. Refused requests count as busy slots because they would have run.
func (p *Planner) observe(s Signal, now time.Time) *poolState {
	current := float64(s.Busy + s.Refused)
	state, ok := p.pools[s.Pool]
	if !ok {
		state = &poolState{demand: current, observedAt: now}
		p.pools[s.Pool] = state
		return state
	}
	elapsed := now.Sub(state.observedAt)
	weight := 1 - math.Exp(-elapsed.Seconds()/p.cfg.Smoothing.Seconds())
	state.demand += weight * (current - state.demand)
	state.observedAt = now
	return state
}

func (p *Planner) requiredCount(s Signal, demand float64) int {
	count := s.Live
	if s.Live > 0 && s.Slots > 0 {
		slotsPerUpstream := float64(s.Slots) / float64(s.Live)
		count = int(math.Ceil(demand / (slotsPerUpstream * p.cfg.TargetUtilization)))
	}
	if s.Max > 0 {
		count = min(count, s.Max)
	}
	return max(count, s.Min)
}

func (p *Planner) planScaleUp(s Signal, state *poolState, count, ordered int, now time.Time) (Decision, bool) {
	if state.aboveSince.IsZero() {
		state.aboveSince = now
	}
	if now.Sub(state.aboveSince) < p.cfg.ScaleUpDelay {
		return Decision{}, false
	}
	state.aboveSince = time.Time{}
	return Decision{Pool: s.Pool, Count: count, Previous: ordered, Demand: state.demand}, true
}

// planScaleDown scales down no further than to the highest count required during the delay, so that a short drop in
// load does not make upstreams stop and start again.
func (p *Planner) planScaleDown(s Signal, state *poolState, count, ordered int, now time.Time) (Decision, bool) {
	if state.belowSince.IsZero() {
		state.belowSince = now
		state.peakCount = count
	}
	state.peakCount = max(state.peakCount, count)
	if now.Sub(state.belowSince) < p.cfg.ScaleDownDelay {
		return Decision{}, false
	}
	state.belowSince = time.Time{}
	return Decision{Pool: s.Pool, Count: state.peakCount, Previous: ordered, Demand: state.demand}, true
}
