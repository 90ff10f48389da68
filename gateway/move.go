package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Rules for moving a text to a faster upstream. A text goes on elsewhere after reading its prompt again, which takes
// about a millisecond; what is lost is the round trip and the event that is being made.
const (
	// moveInterval is how often slow runs are looked for.
	moveInterval = 200 * time.Millisecond
	// moveGain is how much faster the other upstream must be.
	moveGain = 1.2
	// moveCost is the time that a move must save: about twice what a move between regions costs.
	moveCost = 300 * time.Millisecond
	// longTokens is the number of remaining tokens from which a text counts as long: the longest texts decide when a step is
	// over.
	longTokens = 600
	// minRunTime protects a run from being moved right after it began, before the pace of its upstream is known.
	minRunTime = 400 * time.Millisecond
	// maxMoves bounds the runs that are moved in one round, so that they do not crowd the faster upstreams.
	maxMoves = 8
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

// moveSlow ends runs at upstreams that are much slower than another one with room; the scheduler starts them there. The
// longest texts are moved first.
func (g *Gateway) moveSlow(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	pass := newSchedulePass(g, now)
	moved := 0
	for _, r := range g.movableRuns(now) {
		if moved == maxMoves {
			return
		}
		if pass.worthMoving(r) {
			r.run.move()
			moved++
		}
	}
}

// movableRun is a run that has lasted long enough to be moved.
type movableRun struct {
	job  *batch.Job
	item *batch.Progress
	run  *itemRun
}

// movableRuns returns the runs that may be moved, the longest first. The caller holds the lock.
func (g *Gateway) movableRuns(now time.Time) []movableRun {
	var list []movableRun
	for _, e := range g.jobs {
		if e.owned == nil {
			continue
		}
		for p, run := range e.owned.runs {
			if run.move != nil && now.Sub(run.started) >= minRunTime {
				list = append(list, movableRun{job: e.owned.job, item: p, run: run})
			}
		}
	}
	slices.SortFunc(list, func(a, b movableRun) int {
		return cmp.Or(cmp.Compare(b.item.RemainingTokens(), a.item.RemainingTokens()), cmp.Compare(a.item.Item.ID, b.item.Item.ID))
	})
	return list
}

// worthMoving reports whether the rest of a text is better made elsewhere, and counts it there. The caller holds the lock.
func (s *schedulePass) worthMoving(r movableRun) bool {
	pace := s.g.healthOf(r.run.upstream.ID).Pace(s.now)
	if pace == 0 {
		return false
	}
	want := s.g.wantOf(r.job, r.item)
	want.Avoid = r.run.upstream.ID
	key := boardKey{service: r.run.upstream.Service, model: r.job.Spec.Model}
	other, ok := s.board(key).AlternativePace(want)
	if !ok || other == 0 || float64(pace) < moveGain*float64(other) {
		return false
	}
	saved := time.Duration(r.item.RemainingEvents()) * (pace - other)
	if saved < moveCost {
		return false
	}
	s.board(key).Pick(want)
	return true
}
