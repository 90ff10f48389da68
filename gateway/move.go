package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/textmove"
	"github.com/radishshelf/radishshelf/upstreamhealth"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Limits of the search for texts to move; package textmove decides about each of them.
const (
	// moveInterval is the time between two searches for texts at slow engines: a few events, so that each search sees
	// new paces.
	moveInterval = 200 * time.Millisecond
	// longTokens is the number of remaining tokens from which a text counts as long. The longest texts decide when a
	// training step ends.
	longTokens = 600
	// minRunTime is how long a run has to last before it is moved; earlier, the pace of its upstream is not known.
	minRunTime = 400 * time.Millisecond
	// maxEvacuatedRun is the remaining time up to which a text ends where it runs although its data centre is evacuated:
	// about what the operator's order takes to reach all hosts. A longer one costs the operator more than its move.
	maxEvacuatedRun = 2 * time.Second
	// maxMoves limits the runs that are moved in one round, so that they do not overload the faster upstreams.
	maxMoves = 8
)

// errMoved cancels a run whose text continues at a faster upstream.
var errMoved = errors.New("moved to a faster upstream")

// itemRun is the run of an item at an upstream.
type itemRun struct {
	upstream upstreams.Entry
	// attempt is the run as the health of the upstream counts it; nil until the run has begun.
	attempt *upstreamhealth.Attempt
	started time.Time
	// firstEvent and lastEvent are when the first and the last event arrived; zero before.
	firstEvent, lastEvent time.Time
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

// moveSlowRuns cancels runs at engines that have been much slower than another one with room, where the scheduler
// restarts them. The runs with the most remaining tokens are moved first.
func (g *Gateway) moveSlowRuns(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	pass := newSchedulePass(g, now)
	pass.observeSlowPeriods()
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

// observeSlowPeriods compares each engine that runs a text of this process with the engine to which a text would move.
func (s *schedulePass) observeSlowPeriods() {
	g := s.g
	observed := map[string]bool{}
	for _, e := range g.jobs {
		if e.owned == nil {
			continue
		}
		for _, run := range e.owned.runs {
			u := run.upstream
			if observed[u.ID] {
				continue
			}
			observed[u.ID] = true
			key := selectorKey{sendScope: g.jobScope(&e.record, u.Service), model: e.owned.job.Spec.Model}
			other, _ := s.selector(key).Alternative(placement.Requirements{Avoid: u.ID, MinVersion: e.owned.job.Spec.MinVersion})
			g.slowPeriods.Observe(u.ID, g.healthOf(u.ID).LatestPace(s.now), other.Pace, s.now)
		}
	}
	g.slowPeriods.Retain(func(id string) bool { return observed[id] || g.healthOf(id).Pace(s.now) > 0 })
}

// movableRun is a run that has lasted long enough to be moved: at a slow engine, in the queue of one, or in an evacuated data
// centre.
type movableRun struct {
	job     *batch.Job
	item    *batch.Progress
	run     *itemRun
	slowFor time.Duration
}

// movableRuns returns the runs that may be moved, those with the most remaining tokens first. The caller holds g.mu.
func (g *Gateway) movableRuns(now time.Time) []movableRun {
	var list []movableRun
	for _, e := range g.jobs {
		if e.owned == nil {
			continue
		}
		for p, run := range e.owned.runs {
			slowFor, slow := g.slowPeriods.Duration(run.upstream.ID, now)
			mayLeave := slow || run.firstEvent.IsZero() || g.evacuations.Evacuated(run.upstream.DataCentre)
			if mayLeave && run.move != nil && now.Sub(run.started) >= minRunTime {
				list = append(list, movableRun{job: e.owned.job, item: p, run: run, slowFor: slowFor})
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
	g := s.g
	if g.evacuations.Evacuated(r.run.upstream.DataCentre) && s.reserveEvacuation(r) {
		return true
	}
	req := g.requirementsOf(r.job, r.item)
	req.Avoid = r.run.upstream.ID
	key := selectorKey{sendScope: g.jobScope(&r.job.Record, r.run.upstream.Service), model: r.job.Spec.Model}
	other, ok := s.selector(key).Alternative(req)
	if !ok || !r.job.MayContinue(r.item, other.Version) {
		return false
	}
	move := textmove.Candidate{
		RemainingEvents: r.item.RemainingEvents(), Moves: r.item.Moves,
		Pace: g.healthOf(r.run.upstream.ID).LatestPace(s.now), SlowFor: r.slowFor,
		Target:  textmove.Engine{Pace: other.Pace, Requests: other.Requests, Slots: other.Slots},
		Restart: g.restartTimeOf(r.run.upstream.Service).Estimate(),
	}
	if r.run.firstEvent.IsZero() {
		move.Queued = s.now.Sub(r.run.started)
	}
	if !move.IsWorthwhile() {
		return false
	}
	s.selector(key).Pick(req)
	g.opts.Log.Info().Str("job", r.job.Spec.ID).Str("item", r.item.Item.ID).Str("from", r.run.upstream.ID).Str("to", other.ID).
		Int("remaining_events", move.RemainingEvents).Int("moves", move.Moves).Dur("pace_ms", move.Pace).
		Dur("slow_for_ms", move.SlowFor).Dur("queued_ms", move.Queued).Dur("target_pace_ms", other.Pace).Int("target_requests", other.Requests).
		Dur("restart_ms", move.Restart).Dur("saving_ms", move.Saving()).Msg("text moved")
	return true
}

// reserveEvacuation reports whether a text should leave its evacuated data centre, and if so counts it at another upstream.
// The caller holds g.mu.
func (s *schedulePass) reserveEvacuation(r movableRun) bool {
	pace := s.g.healthOf(r.run.upstream.ID).Pace(s.now)
	if pace == 0 || time.Duration(r.item.RemainingEvents())*pace <= maxEvacuatedRun {
		return false
	}
	req := s.g.requirementsOf(r.job, r.item)
	req.Avoid = r.run.upstream.ID
	selector := s.selector(selectorKey{sendScope: s.g.jobScope(&r.job.Record, r.run.upstream.Service), model: r.job.Spec.Model})
	other, ok := selector.Alternative(req)
	if !ok || !r.job.MayContinue(r.item, other.Version) {
		return false
	}
	selector.Pick(req)
	s.g.opts.Log.Info().Str("job", r.job.Spec.ID).Str("item", r.item.Item.ID).Str("from", r.run.upstream.ID).Str("to", other.ID).
		Int("remaining_events", r.item.RemainingEvents()).Msg("text leaves an evacuated data centre")
	return true
}
