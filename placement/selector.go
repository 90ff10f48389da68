package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Costs in units of the time that a text takes at the fastest pace.
const (
	// occupancyCost is how much slower an engine is with all slots in use.
	occupancyCost = 0.3
	// connectionCost is for a send that needs a new connection.
	connectionCost = 0.06
	// oldVersionCost is for a text that should be made by the newest weights.
	oldVersionCost = 0.12
	// sameRegionCost and remoteCost are for engines in another data centre and in another region. They are small, because only
	// the volume of the text counts, not the round trip.
	sameRegionCost  = 0.04
	otherRegionCost = 0.08
	// memoryCost is for an engine whose memory will be full. One that runs out of memory puts the newest text back, which
	// then waits and is read again.
	memoryCost = 0.2
	// avoidCost puts the engine at which the last run of a text failed behind all others.
	avoidCost = 4
	// tieBreakCost spreads texts over equal engines.
	tieBreakCost = 0.01
)

// slowRatio is how many times the typical pace makes an engine slow. One that was slow when it was last observed gets one
// short text at a time until that is known to have changed, or a long one that no other engine serves.
const slowRatio = 1.5

// Selector holds the engines of one service and model for one pass of a scheduler. A choice counts at once, so that the next
// one sees it.
type Selector struct {
	engines     []Engine
	fastestPace time.Duration
	typicalPace time.Duration
}

// NewSelector returns a board of engines.
func NewSelector(engines []Engine) *Selector {
	s := &Selector{engines: engines}
	var paces []time.Duration
	for _, e := range engines {
		if e.Pace > 0 {
			paces = append(paces, e.Pace)
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		s.fastestPace, s.typicalPace = paces[0], paces[(len(paces)-1)/2]
	}
	return s
}

// Pick chooses the engine for a text and counts the text there.
func (s *Selector) Pick(req Requirements) (id string, ok bool) {
	best := s.best(req)
	if best == nil {
		return "", false
	}
	best.OwnRequests++
	best.Runs = append(best.Runs, req.Run)
	return best.ID, true
}

// Full reports whether every engine that may take a text has all slots in use, so that none takes a smaller one either.
func (s *Selector) Full(req Requirements) bool {
	return !slices.ContainsFunc(s.engines, func(e Engine) bool { return s.accepts(&e, req) })
}

// AlternativePace returns the expected pace of the engine to which a text would move, 0 when no pace is known at all. ok is false
// when there is none but the one to avoid.
func (s *Selector) AlternativePace(req Requirements) (pace time.Duration, ok bool) {
	best := s.best(req)
	if best == nil || best.ID == req.Avoid {
		return 0, false
	}
	return s.expectedPace(best), true
}

func (s *Selector) best(req Requirements) *Engine {
	var best *Engine
	bestScore := 0.0
	for i := range s.engines {
		e := &s.engines[i]
		if !s.accepts(e, req) {
			continue
		}
		memory := e.memoryUseWith(req.Run)
		if memory > 1 && len(e.Runs) > 0 {
			continue
		}
		if score := s.score(e, req) + memoryCost*memory; best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// accepts is the filter, but for memory.
func (s *Selector) accepts(e *Engine, req Requirements) bool {
	if e.Excluded || e.Version < req.MinVersion || e.OwnRequests >= e.availableSlots() {
		return false
	}
	return !s.isSuspectedSlow(e) || e.OwnRequests == 0 && (!req.Long || !s.hasHealthyEngine(req))
}

// hasHealthyEngine reports whether an engine that serves a text, if it has no room now, is not suspected to be slow.
func (s *Selector) hasHealthyEngine(req Requirements) bool {
	return slices.ContainsFunc(s.engines, func(e Engine) bool { return e.Version >= req.MinVersion && !s.isSuspectedSlow(&e) })
}

// isSuspectedSlow reports whether an engine was slow when it was last observed, and has not been observed since.
func (s *Selector) isSuspectedSlow(e *Engine) bool {
	return e.Pace == 0 && s.typicalPace > 0 && float64(e.LastPace) > slowRatio*float64(s.typicalPace)
}

// expectedPace is the observed pace of an engine, or the typical one where nothing was observed.
func (s *Selector) expectedPace(e *Engine) time.Duration {
	if e.Pace > 0 {
		return e.Pace
	}
	return s.typicalPace
}

// score is the expected time of a text at an engine.
func (s *Selector) score(e *Engine, req Requirements) float64 {
	score := 1 + rand.Float64()*tieBreakCost
	if s.fastestPace > 0 {
		score += float64(s.expectedPace(e))/float64(s.fastestPace) - 1
	}
	score += occupancyCost * float64(e.OwnRequests+e.OtherRequests+1) / float64(max(e.Slots, 1))
	if e.OwnRequests >= e.Connections {
		score += connectionCost
	}
	switch e.Distance {
	case SameRegion:
		score += sameRegionCost
	case OtherRegion:
		score += otherRegionCost
	}
	if e.ID == req.Avoid {
		score += avoidCost
	}
	if e.Version < req.Newest {
		score += oldVersionCost
	}
	return score
}
