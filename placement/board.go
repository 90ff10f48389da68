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

// Board holds the engines of one service and model for one pass of a scheduler. A choice counts at once, so that the next
// one sees it.
type Board struct {
	engines []Engine
	fastest time.Duration
	typical time.Duration
}

// NewBoard returns a board of engines.
func NewBoard(engines []Engine) *Board {
	b := &Board{engines: engines}
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
func (b *Board) Pick(w Want) (id string, ok bool) {
	best := b.best(w)
	if best == nil {
		return "", false
	}
	best.Own++
	best.Runs = append(best.Runs, w.Run)
	return best.ID, true
}

// Crowded reports whether every engine that may take a text has all slots in use, so that none takes a smaller one either.
func (b *Board) Crowded(w Want) bool {
	return !slices.ContainsFunc(b.engines, func(e Engine) bool { return b.takes(&e, w) })
}

// Better returns the expected pace of the engine to which a text would move, 0 when no pace is known at all. ok is false
// when there is none but the one to avoid.
func (b *Board) Better(w Want) (pace time.Duration, ok bool) {
	best := b.best(w)
	if best == nil || best.ID == w.Avoid {
		return 0, false
	}
	return b.expectedPace(best), true
}

func (b *Board) best(w Want) *Engine {
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
func (b *Board) takes(e *Engine, w Want) bool {
	if e.Avoided || e.Version < w.MinVersion || e.Own >= e.room() {
		return false
	}
	return !b.isSuspectedSlow(e) || e.Own == 0 && (!w.Long || !b.hasSound(w))
}

// hasSound reports whether an engine that serves a text, if it has no room now, is not suspected to be slow.
func (b *Board) hasSound(w Want) bool {
	return slices.ContainsFunc(b.engines, func(e Engine) bool { return e.Version >= w.MinVersion && !b.isSuspectedSlow(&e) })
}

// isSuspectedSlow reports whether an engine was slow when it was last observed, and has not been observed since.
func (b *Board) isSuspectedSlow(e *Engine) bool {
	return e.Pace == 0 && b.typical > 0 && float64(e.LastPace) > slowRatio*float64(b.typical)
}

// expectedPace is the observed pace of an engine, or the typical one where nothing was observed.
func (b *Board) expectedPace(e *Engine) time.Duration {
	if e.Pace > 0 {
		return e.Pace
	}
	return b.typical
}

// score is the expected time of a text at an engine.
func (b *Board) score(e *Engine, w Want) float64 {
	score := 1 + rand.Float64()*tieBreak
	if b.fastest > 0 {
		score += float64(b.expectedPace(e))/float64(b.fastest) - 1
	}
	score += crowdCost * float64(e.Own+e.Others+1) / float64(max(e.Slots, 1))
	if e.Own >= e.Connections {
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
