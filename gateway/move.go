package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Rules for moving a text to a faster upstream. A text goes on elsewhere after reading its prompt again, which takes
// about a millisecond; what is lost is the round trip.
const (
	// moveInterval is how often slow runs are looked for.
	moveInterval = 200 * time.Millisecond
	// moveGain is how much faster the other upstream must be, and longMoveGain the same for a text of which longTokens or
	// more remain: the longest texts decide when a step is over.
	moveGain     = 1.6
	longMoveGain = 1.2
	longTokens   = 600
	// minRunTime protects a run from being moved right after it began, and minLongRunTime a long one from going to and fro.
	minRunTime     = 400 * time.Millisecond
	minLongRunTime = 800 * time.Millisecond
	// minMoveTokens is the length that must remain for a move to pay.
	minMoveTokens = 150
	// maxMoves bounds the runs that are moved in one round, so that they do not crowd the faster upstreams.
	maxMoves = 4
)

// errMoved ends a run whose text goes on at a faster upstream.
var errMoved = errors.New("moved to a faster upstream")

// itemRun is the run of an item at an upstream.
type itemRun struct {
	upstream upstreams.Entry
	started  time.Time
	move     func()
}

// setRun notes the run of an item; nil when it has none.
func (o *ownedJob) setRun(p *batch.Progress, run *itemRun) {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	if run == nil {
		delete(o.runs, p)
		return
	}
	o.runs[p] = run
}

// moveLoop looks for runs at slow upstreams until ctx ends.
func (g *Gateway) moveLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, moveInterval)
		g.moveSlow(time.Now())
	}
}

// moveSlow ends runs at upstreams that are much slower than another one with room; the scheduler starts them there.
func (g *Gateway) moveSlow(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	moved := 0
	for _, e := range g.jobs {
		if e.owned == nil {
			continue
		}
		for p, run := range e.owned.runs {
			if moved < maxMoves && run.move != nil && g.worthMoving(e, p, run, now) {
				run.move()
				moved++
			}
		}
	}
}

// worthMoving reports whether the rest of a text is better made elsewhere. The caller holds the lock.
func (g *Gateway) worthMoving(e *jobEntry, p *batch.Progress, run *itemRun, now time.Time) bool {
	pace := g.healthOf(run.upstream.ID).Pace(now)
	remaining := p.Remaining()
	if pace == 0 || now.Sub(run.started) < minRunTime || remaining < minMoveTokens {
		return false
	}
	gain := moveGain
	if remaining >= longTokens && now.Sub(run.started) >= minLongRunTime {
		gain = longMoveGain
	}
	key := roomKey{service: run.upstream.Service, model: e.owned.job.Spec.Model, minVersion: e.owned.job.Spec.MinVersion}
	better, ok := g.chooseEngine(key, run.upstream.ID, now)
	if !ok || better.ID == run.upstream.ID {
		return false
	}
	other := g.healthOf(better.ID).Pace(now)
	return other > 0 && float64(pace) > gain*float64(other)
}
