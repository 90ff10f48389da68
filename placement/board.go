package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Costs in units of the time that a text takes at the fastest pace.
const (
	// crowdCost is how much slower an engine is with all slots in use.
	crowdCost = 0.3
	// connectionCost is for a send that needs a new connection.
	connectionCost = 0.06
	// oldVersionCost is for a text that should be made by the newest weights.
	oldVersionCost = 0.12
	// regionCost and remoteCost are for engines in another data centre and in another region. They are small, because only
	// the volume of the text counts, not the round trip.
	regionCost = 0.04
	remoteCost = 0.08
	// memoryCost is for an engine whose memory will be full. One that runs out of memory puts the newest text back, which
	// then waits and is read again.
	memoryCost = 0.2
	// avoidCost puts the engine at which the last run of a text failed behind all others.
	avoidCost = 4
	// tieBreak spreads texts over equal engines.
	tieBreak = 0.01
)

// slowRatio is how many times the typical pace makes an engine slow. One that was slow when it was last observed gets one
// short text at a time until that is known to have changed, or a long one that no other engine serves.
const slowRatio = 1.5

// Selector holds the engines of one service and model for one pass of a scheduler. A choice counts at once, so that the next
// one sees it.
type Selector struct {
	engines []Engine
	fastest time.Duration
	typical time.Duration
}

// NewSelector returns a board of engines.
func NewSelector(engines []Engine) *Selector {
	b := &Selector{engines: engines}
	var paces []time.Duration
	for _, e := range engines {
		if e.Pace > 0 {
			paces = append(paces, e.Pace)
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		b.fastest, b.typical = paces[0], paces[(len(paces)-1)/2]
	}
	return b
}

// Pick chooses the engine for a text and counts the text there.
func (b *Selector) Pick(w Requirements) (id string, ok bool) {
	best := b.best(w)
	if best == nil {
		return "", false
	}
	best.OwnRequests++
	best.Runs = append(best.Runs, w.Run)
	return best.ID, true
}

// Full reports whether every engine that may take a text has all slots in use, so that none takes a smaller one either.
func (b *Selector) Full(w Requirements) bool {
	return !slices.ContainsFunc(b.engines, func(e Engine) bool { return b.takes(&e, w) })
}

// AlternativePace returns the expected pace of the engine to which a text would move, 0 when no pace is known at all. ok is false
// when there is none but the one to avoid.
func (b *Selector) AlternativePace(w Requirements) (pace time.Duration, ok bool) {
	best := b.best(w)
	if best == nil || best.ID == w.Avoid {
		return 0, false
	}
	return b.expectedPace(best), true
}

func (b *Selector) best(w Requirements) *Engine {
	var best *Engine
	bestScore := 0.0
	for i := range b.engines {
		e := &b.engines[i]
		if !b.takes(e, w) {
			continue
		}
		memory := e.memoryWith(w.Run)
		if memory > 1 && len(e.Runs) > 0 {
			continue
		}
		if score := b.score(e, w) + memoryCost*memory; best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// takes is the filter, but for memory.
func (b *Selector) takes(e *Engine, w Requirements) bool {
	if e.Excluded || e.Version < w.MinVersion || e.OwnRequests >= e.room() {
		return false
	}
	return !b.isSuspectedSlow(e) || e.OwnRequests == 0 && (!w.Long || !b.hasSound(w))
}

// hasSound reports whether an engine that serves a text, if it has no room now, is not suspected to be slow.
func (b *Selector) hasSound(w Requirements) bool {
	return slices.ContainsFunc(b.engines, func(e Engine) bool { return e.Version >= w.MinVersion && !b.isSuspectedSlow(&e) })
}

// isSuspectedSlow reports whether an engine was slow when it was last observed, and has not been observed since.
func (b *Selector) isSuspectedSlow(e *Engine) bool {
	return e.Pace == 0 && b.typical > 0 && float64(e.LastPace) > slowRatio*float64(b.typical)
}

// expectedPace is the observed pace of an engine, or the typical one where nothing was observed.
func (b *Selector) expectedPace(e *Engine) time.Duration {
	if e.Pace > 0 {
		return e.Pace
	}
	return b.typical
}

// score is the expected time of a text at an engine.
func (b *Selector) score(e *Engine, w Requirements) float64 {
	score := 1 + rand.Float64()*tieBreak
	if b.fastest > 0 {
		score += float64(b.expectedPace(e))/float64(b.fastest) - 1
	}
	score += crowdCost * float64(e.OwnRequests+e.OtherRequests+1) / float64(max(e.Slots, 1))
	if e.OwnRequests >= e.Connections {
		score += connectionCost
	}
	switch e.Distance {
	case SameRegion:
		score += regionCost
	case OtherRegion:
		score += remoteCost
	}
	if e.ID == w.Avoid {
		score += avoidCost
	}
	if e.Version < w.Newest {
		score += oldVersionCost
	}
	return score
}
