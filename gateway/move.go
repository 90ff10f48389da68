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

// Rules for moving a text to a faster upstream. The new upstream has to process the prompt again, which takes about a
// millisecond; a move costs the round trip and the event in progress.
const (
	// moveInterval is the time between two searches for slow runs.
	moveInterval = 200 * time.Millisecond
	// minMoveSpeedup is how many times faster the other upstream must be.
	minMoveSpeedup = 1.2
	// minMoveSaving is the time that a move must save: about twice what a move between regions costs.
	minMoveSaving = 300 * time.Millisecond
	// longTokens is the number of remaining tokens from which a text counts as long. The longest texts decide when a
	// training step ends.
	longTokens = 600
	// minRunTime is how long a run has to last before it is moved; earlier, the pace of its upstream is not known.
	minRunTime = 400 * time.Millisecond
	// maxMoves limits the runs that are moved in one round, so that they do not overload the faster upstreams.
	maxMoves = 8
)

// errMoved cancels a run whose text continues at a faster upstream.
var errMoved = errors.New("moved to a faster upstream")

// itemRun is the run of an item at an upstream.
type itemRun struct {
	upstream upstreams.Entry
	started  time.Time
	// move cancels the run with errMoved; nil until the run has begun.
	move func()
}

// setRun records the run of an item; nil removes it.
func (o *ownedJob) setRun(p *batch.Progress, run *itemRun) {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	if run == nil {
		delete(o.runs, p)
		return
	}
	o.runs[p] = run
}

// moveLoop moves runs away from slow upstreams until ctx ends.
func (g *Gateway) moveLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, moveInterval)
		g.moveSlowRuns(time.Now())
	}
}

// moveSlowRuns cancels runs at upstreams that are much slower than another one with room, where the scheduler
// restarts them. The runs with the most remaining tokens are moved first.
func (g *Gateway) moveSlowRuns(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	pass := newSchedulePass(g, now)
	moved := 0
	for _, r := range g.movableRuns(now) {
		if moved == maxMoves {
			return
		}
		if pass.reserveMove(r) {
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

// movableRuns returns the runs that may be moved, those with the most remaining tokens first. The caller holds g.mu.
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

// reserveMove reports whether the rest of a text should be generated at another upstream, and if so counts the text
// there. The caller holds g.mu.
func (s *schedulePass) reserveMove(r movableRun) bool {
	pace := s.g.healthOf(r.run.upstream.ID).Pace(s.now)
	if pace == 0 {
		return false
	}
	req := s.g.requirementsOf(r.job, r.item)
	req.Avoid = r.run.upstream.ID
	key := selectorKey{sendScope: s.g.jobScope(&r.job.Record, r.run.upstream.Service), model: r.job.Spec.Model}
	other, ok := s.selector(key).AlternativePace(req)
	if !ok || other == 0 || float64(pace) < minMoveSpeedup*float64(other) {
		return false
	}
	saved := time.Duration(r.item.RemainingEvents()) * (pace - other)
	if saved < minMoveSaving {
		return false
	}
	s.selector(key).Pick(req)
	return true
}
