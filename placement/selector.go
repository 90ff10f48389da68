package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Costs, in units of the time that a text takes at the fastest pace.
const (
	// occupancyCost is the slowdown of an engine with all slots in use.
	occupancyCost = 0.3
	// connectionCost applies if sending needs a new connection.
	connectionCost = 0.06
	// oldVersionCost applies if the engine does not serve the preferred weight version.
	oldVersionCost = 0.12
	// sameRegionCost and otherRegionCost apply to engines in another data centre of the region and in another region.
	// They are small, because only the size of the text matters, not the round-trip time.
	sameRegionCost  = 0.04
	otherRegionCost = 0.08
	// memoryCost applies in proportion to the peak memory use of the engine. An engine that runs out of memory preempts
	// its newest text, which then waits and is prefilled again.
	memoryCost = 0.2
	// avoidCost ranks the engine where the last run of the text failed behind all others.
	avoidCost = 4
	// tieBreakCost is the range of a random cost that spreads texts over equal engines.
	tieBreakCost = 0.01
)

// slowRatio is the multiple of the typical pace above which an engine counts as slow. An engine that was slow when last
// observed gets only one text at a time until a new observation.
const slowRatio = 1.5

// maxSlowPaceAge is how long long texts expect the slow pace at which an engine was last observed. Without a limit, an
// engine that has recovered would get none while the others have room.
const maxSlowPaceAge = 10 * time.Second

// Selector chooses among the engines of one service and model during one scheduler pass. Each choice is counted
// immediately, so that the next one takes it into account.
type Selector struct {
	engines     []Engine
	fastestPace time.Duration
	typicalPace time.Duration
}

// NewSelector returns a selector for engines.
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

// Pick chooses the engine for a text and adds the text to its load.
func (s *Selector) Pick(req Requirements) (id string, ok bool) {
	best := s.best(req)
	if best == nil {
		return "", false
	}
	best.OwnRequests++
	best.SendsLeft--
	best.ProbesLeft--
	best.Runs = append(best.Runs, req.Run)
	return best.ID, true
}

// Full reports whether no engine can take a text with these requirements, regardless of its size.
func (s *Selector) Full(req Requirements) bool {
	return !slices.ContainsFunc(s.engines, func(e Engine) bool { return s.accepts(&e, req) })
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

// accepts is the filter, except for memory.
func (s *Selector) accepts(e *Engine, req Requirements) bool {
	if e.Excluded || e.ProbesLeft <= 0 || e.Limited && e.SendsLeft <= 0 || e.Version < req.MinVersion || e.OwnRequests >= e.availableSlots() {
		return false
	}
	return !s.isSuspectedSlow(e) || e.OwnRequests == 0
}

// isSuspectedSlow reports whether an engine was slow when last observed and has not been observed recently.
func (s *Selector) isSuspectedSlow(e *Engine) bool {
	return e.Pace == 0 && s.typicalPace > 0 && float64(e.LastPace) > slowRatio*float64(s.typicalPace)
}

// SuspectedSlow returns the IDs of the engines that were slow when last observed and have not been observed recently.
func (s *Selector) SuspectedSlow() []string {
	var ids []string
	for i := range s.engines {
		if s.isSuspectedSlow(&s.engines[i]) {
			ids = append(ids, s.engines[i].ID)
		}
	}
	return ids
}

// expectedPace returns the pace that a text is expected to have at an engine: the observed one, or the typical one if none
// was observed recently. At an engine that was slow when last observed, a short text shows at little cost whether it still
// is; a long text expects the slow pace until maxSlowPaceAge.
func (s *Selector) expectedPace(e *Engine, req Requirements) time.Duration {
	switch {
	case e.Pace > 0:
		return e.Pace
	case req.Long && s.isSuspectedSlow(e) && e.PaceAge < maxSlowPaceAge:
		return e.LastPace
	default:
		return s.typicalPace
	}
}

// score returns the expected time of a text at an engine.
func (s *Selector) score(e *Engine, req Requirements) float64 {
	score := 1 + rand.Float64()*tieBreakCost
	if s.fastestPace > 0 {
		score += float64(s.expectedPace(e, req))/float64(s.fastestPace) - 1
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
