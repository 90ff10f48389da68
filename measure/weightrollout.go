package measure

import (
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rollout"
)

// maxFullSpeedCopies is the number of copies that an engine can send at full speed; further copies share their total
// rate.
const maxFullSpeedCopies = 2

// weightRollout runs the planner of the role holder, the stage plans of the entries and the staging by the agents.
type weightRollout struct {
	run     *weightsRun
	planner *rollout.Planner
	current fleetconfig.Rollout
	// reports holds the last heartbeat of each engine, in the order of the engines, which is grouped by data centre.
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
		e.storeFallback = storeFallback + randomFraction(r.sim.Rand, storeFallbackSpread)
	}
	return w
}

func (w *weightRollout) start() {
	w.run.sim.Every(time.Second, w.plan)
	for i, e := range w.run.engines {
		w.reports[i] = e.report()
		w.run.onHeartbeats(func() { w.heartbeat(e) })
	}
}

// plan runs one planning round of the role holder.
func (w *weightRollout) plan() {
	decision, ok := w.planner.Plan(w.current, w.run.newestVersion(), w.reports, 1, w.run.sim.Now())
	if ok {
		w.current = decision.Rollout
	}
}

// heartbeat reports the engine's versions to the role holder and returns the wanted state to the engine. Entries push
// the reports and the wanted state to each other, so that one exchange between entries is the only delay.
func (w *weightRollout) heartbeat(e *weightEngine) {
	report := e.report()
	wanted := w.current
	w.run.sim.After(w.run.user.CrossRegionDelay, func() {
		w.reports[e.index] = report
		if e.wanted.Version != wanted.Version {
			e.wantedSince = w.run.sim.Now()
		}
		e.wanted = wanted
		w.reconcile(e)
	})
}

// reconcile brings the engine closer to the wanted state.
func (w *weightRollout) reconcile(e *weightEngine) {
	version := e.wanted.Version
	if version == 0 {
		return
	}
	if e.loadingVersion != 0 && e.loadingVersion != version {
		// The agent aborts the staging of a version that is no longer wanted.
		e.cancel()
		e.loadingVersion = 0
	}
	if e.stagedVersion != version && e.activeVersion != version && e.loadingVersion == 0 {
		w.stage(e, version)
	}
	if e.wanted.Phase == fleetconfig.PhaseActivate {
		e.activate()
	}
}

// stage starts the transfer that the entry's plan specifies. An agent without a source waits, as in package agent.
func (w *weightRollout) stage(e *weightEngine, version int64) {
	begin := e.dataCentre * w.run.sizes.enginesPerDataCentre
	plan := rollout.PlanStage(e.name, version, w.reports[begin:begin+w.run.sizes.enginesPerDataCentre])
	waited := w.run.sim.Now().Sub(e.wantedSince)
	switch {
	case len(plan.Sources) > 0:
		w.copyFrom(e, w.byName[plan.Sources[0]], version)
	case plan.FetchFromStore, e.wanted.Phase == fleetconfig.PhaseActivate, waited >= e.storeFallback:
		e.loadingVersion = version
		begin := w.run.sim.Now()
		e.fetchFromStore(func() { w.transferEnded(e, version, begin) })
	}
}

// copyFrom transfers a version from another engine. A copy that stalls is aborted after hangTimeout.
func (w *weightRollout) copyFrom(e, source *weightEngine, version int64) {
	e.loadingVersion = version
	begin := w.run.sim.Now()
	e.cancel = func() {}
	if w.run.hangingFraction > 0 && w.run.sim.Rand.Float64() < w.run.hangingFraction {
		w.run.sim.After(hangTimeout, func() {
			w.run.addLostTime(begin, stagingSlowdown)
			if e.loadingVersion == version {
				e.loadingVersion = 0
			}
		})
		return
	}
	t := source.uplink.start(w.run.sizes.weightGigabytes, func() { w.transferEnded(e, version, begin) })
	e.cancel = func() { source.uplink.cancel(t) }
}

// transferEnded handles the end of a transfer. A transfer that failed partway is retried after a later heartbeat.
func (w *weightRollout) transferEnded(e *weightEngine, version int64, begin time.Time) {
	w.run.addLostTime(begin, stagingSlowdown)
	e.loadingVersion = 0
	if w.run.sim.Rand.Float64() >= swapFailureRate {
		e.stagedVersion = version
	}
}
