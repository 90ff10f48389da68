package measure

import (
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rollout"
)

// copiesEach is how many copies an engine that has a version sends at once.
const copiesEach = 2

// weightRollout runs the planner of the role's holder and the staging that the agents perform.
type weightRollout struct {
	run     *weightsRun
	planner *rollout.Planner
	current fleetconfig.Rollout
	// reports are the last heartbeats.
	reports []rollout.Engine
	// spread is the staging inside each data centre.
	spread []*spreadState
}

// spreadState is the staging of one version in one data centre.
type spreadState struct {
	version  int64
	fetching bool
	// free is how many copies the engines with the version can still send.
	free    int
	waiting []*weightEngine
}

func newWeightRollout(r *weightsRun) *weightRollout {
	planner, err := rollout.NewPlanner(rollout.DefaultConfig())
	if err != nil {
		panic(err) // the default configuration is valid
	}
	w := &weightRollout{run: r, planner: planner, reports: make([]rollout.Engine, len(r.engines))}
	for range r.sizes.dataCentres {
		w.spread = append(w.spread, &spreadState{})
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
	w.run.sim.After(w.run.user.CrossRegion, func() {
		w.reports[e.index] = report
		e.wanted = wanted
		w.follow(e)
	})
}

// follow closes the difference between the wanted state and the engine.
func (w *weightRollout) follow(e *weightEngine) {
	if e.wanted.Version == 0 {
		return
	}
	if e.staged != e.wanted.Version && e.active != e.wanted.Version && e.loading != e.wanted.Version {
		w.stage(e, e.wanted.Version)
	}
	if e.wanted.Phase == fleetconfig.PhaseActivate {
		e.activate()
	}
}

// stage fetches the version as the first engine of the data centre, or waits for a copy from another one.
func (w *weightRollout) stage(e *weightEngine, version int64) {
	e.loading = version
	state := w.spread[e.dataCentre]
	if state.version != version {
		*state = spreadState{version: version}
	}
	if !state.fetching {
		state.fetching = true
		begin := w.run.sim.Now()
		e.fetch(func() { w.received(state, e, begin) })
		return
	}
	state.waiting = append(state.waiting, e)
	w.copy(state)
}

// copy starts as many copies as the engines with the version can send.
func (w *weightRollout) copy(state *spreadState) {
	for state.free > 0 && len(state.waiting) > 0 {
		e := state.waiting[0]
		state.waiting = state.waiting[1:]
		state.free--
		begin := w.run.sim.Now()
		w.run.sim.After(seconds(w.run.sizes.gigabytes/w.run.sizes.copy), func() {
			state.free++
			w.received(state, e, begin)
		})
	}
}

// received ends a transfer. One that failed partway is repeated with a later heartbeat, unless it was the fetch, which
// is repeated at once.
func (w *weightRollout) received(state *spreadState, e *weightEngine, begin time.Time) {
	w.run.lose(begin, stagingSlowdown)
	e.loading = 0
	switch {
	case w.run.sim.Rand.Float64() >= swapFailure:
		e.staged = state.version
		state.free += copiesEach
	case state.free == 0 && len(state.waiting) > 0 && !w.has(e.dataCentre, state.version):
		state.fetching = false
	}
	w.copy(state)
}

// has reports whether an engine of the data centre has a version.
func (w *weightRollout) has(dataCentre int, version int64) bool {
	for _, e := range w.run.engines {
		if e.dataCentre == dataCentre && e.staged == version {
			return true
		}
	}
	return false
}
