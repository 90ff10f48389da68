package measure

import (
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rollout"
)

// copiesEach is how many copies an engine that has a version sends at full speed; more share the rate of these.
const copiesEach = 2

// weightRollout runs the planner of the role's holder, the stage plans of the entries and the staging of the agents.
type weightRollout struct {
	run     *weightsRun
	planner *rollout.Planner
	current fleetconfig.Rollout
	// reports are the last heartbeats in the order of the engines, which lists one data centre after the other.
	reports []rollout.Engine
	byName  map[string]*weightEngine
}

func newWeightRollout(r *weightsRun) *weightRollout {
	planner, err := rollout.NewPlanner(rollout.DefaultConfig())
	if err != nil {
		panic(err) // the default configuration is valid
	}
	w := &weightRollout{run: r, planner: planner, reports: make([]rollout.Engine, len(r.engines)), byName: map[string]*weightEngine{}}
	for _, e := range r.engines {
		w.byName[e.name] = e
		e.storeFallback = storeFallback + fraction(r.sim.Rand, storeFallbackSpread)
	}
	return w
}

func (w *weightRollout) begin() {
	w.run.sim.Every(time.Second, w.plan)
	for i, e := range w.run.engines {
		w.reports[i] = e.report()
		w.run.heartbeats(func() { w.heartbeat(e) })
	}
}

// plan is one round of the holder.
func (w *weightRollout) plan() {
	decision, ok := w.planner.Plan(w.current, w.run.newest(), w.reports, 1, w.run.sim.Now())
	if ok {
		w.current = decision.Rollout
	}
}

// heartbeat brings the engine's versions to the holder and the wanted state back. The way to the holder's entry and
// back takes up to one exchange between entries, which is pushed.
func (w *weightRollout) heartbeat(e *weightEngine) {
	report := e.report()
	wanted := w.current
	w.run.sim.After(w.run.user.CrossRegionDelay, func() {
		w.reports[e.index] = report
		if e.wanted.Version != wanted.Version {
			e.wantedSince = w.run.sim.Now()
		}
		e.wanted = wanted
		w.follow(e)
	})
}

// follow closes the difference between the wanted state and the engine.
func (w *weightRollout) follow(e *weightEngine) {
	version := e.wanted.Version
	if version == 0 {
		return
	}
	if e.loading != 0 && e.loading != version {
		// The agent ends the staging of a version that is no longer wanted.
		e.cancel()
		e.loading = 0
	}
	if e.staged != version && e.active != version && e.loading == 0 {
		w.stage(e, version)
	}
	if e.wanted.Phase == fleetconfig.PhaseActivate {
		e.activate()
	}
}

// stage starts what the entry's plan says. An agent without a source waits, as package agent does.
func (w *weightRollout) stage(e *weightEngine, version int64) {
	begin := e.dataCentre * w.run.sizes.enginesEach
	plan := rollout.PlanStage(e.name, version, w.reports[begin:begin+w.run.sizes.enginesEach])
	waited := w.run.sim.Now().Sub(e.wantedSince)
	switch {
	case len(plan.Sources) > 0:
		w.copy(e, w.byName[plan.Sources[0]], version)
	case plan.FetchFromStore, e.wanted.Phase == fleetconfig.PhaseActivate, waited >= e.storeFallback:
		e.loading = version
		begin := w.run.sim.Now()
		e.fetch(func() { w.received(e, version, begin) })
	}
}

// copy transfers a version from another engine. A copy that hangs ends without a result.
func (w *weightRollout) copy(e, source *weightEngine, version int64) {
	e.loading = version
	begin := w.run.sim.Now()
	e.cancel = func() {}
	if w.run.hanging > 0 && w.run.sim.Rand.Float64() < w.run.hanging {
		w.run.sim.After(hangTime, func() {
			w.run.lose(begin, stagingSlowdown)
			if e.loading == version {
				e.loading = 0
			}
		})
		return
	}
	t := source.uplink.send(w.run.sizes.gigabytes, func() { w.received(e, version, begin) })
	e.cancel = func() { source.uplink.cancel(t) }
}

// received ends a transfer. One that failed partway is repeated with a later heartbeat.
func (w *weightRollout) received(e *weightEngine, version int64, begin time.Time) {
	w.run.lose(begin, stagingSlowdown)
	e.loading = 0
	if w.run.sim.Rand.Float64() >= swapFailure {
		e.staged = version
	}
}
