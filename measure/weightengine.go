package measure

import (
	"math/rand"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rollout"
)

// weightEngine is an engine with its agent, as far as weights are concerned.
type weightEngine struct {
	run        *weightsRun
	index      int
	dataCentre int
	region     int
	active     int64
	staged     int64
	// wanted is the last rollout that a heartbeat brought.
	wanted  fleetconfig.Rollout
	loading int64
	swaps   bool
	// stopped engines serve nothing since stoppedAt.
	stopped   bool
	stoppedAt time.Time
}

// loadAlone makes every engine load the newest version when a heartbeat tells of it.
func (r *weightsRun) loadAlone() {
	for _, e := range r.engines {
		r.heartbeats(func() {
			if e.loading == 0 && r.newest() > e.active {
				e.load(r.newest())
			}
		})
	}
}

// heartbeats calls f with each heartbeat that arrives, from a random moment of the first second.
func (r *weightsRun) heartbeats(f func()) {
	r.sim.After(fraction(r.sim.Rand, heartbeat), func() {
		r.sim.Every(heartbeat, func() {
			if r.sim.Rand.Float64() >= reportLoss {
				f()
			}
		})
	})
}

func fraction(random *rand.Rand, of time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(of))
}

// load stops the engine, which ends what runs on it, and loads from the weight store.
func (e *weightEngine) load(version int64) {
	e.loading = version
	e.run.discarded += e.running()
	e.stopped, e.stoppedAt = true, e.run.sim.Now()
	e.fetch(func() {
		finish := func() {
			e.run.lose(e.stoppedAt, 1)
			e.stopped = false
			e.loading = 0
			e.run.activated(e, version)
		}
		if e.run.sim.Rand.Float64() < swapFailure {
			e.run.sim.After(probeTime, func() { e.fetch(finish) })
			return
		}
		finish()
	})
}

// lose counts a share of the engine's time from a moment until now, within the length of the run.
func (r *weightsRun) lose(begin time.Time, share float64) {
	r.lost += share * r.sim.Now().Sub(begin).Seconds()
}

// running is how many answers an engine generates at a random moment; seven of ten slots are in use.
func (e *weightEngine) running() int {
	return int(0.7 * float64(DefaultEngineConfig().Slots))
}

// fetch transfers a version from the weight store, which is in the first region.
func (e *weightEngine) fetch(done func()) {
	if e.region != 0 {
		e.run.cross += e.run.sizes.gigabytes
	}
	e.run.store.send(e.run.sizes.gigabytes, done)
}

// report is what the engine's heartbeat tells the planner.
func (e *weightEngine) report() rollout.Engine {
	return rollout.Engine{Healthy: true, Active: e.active, Staged: []int64{e.staged}}
}

// activate swaps to the wanted version when it is staged. A failed swap is repeated after the probe.
func (e *weightEngine) activate() {
	version := e.wanted.Version
	if e.swaps || e.active >= version || e.staged != version {
		return
	}
	e.swaps = true
	begin := e.run.sim.Now()
	failed := e.run.sim.Rand.Float64() < swapFailure
	took := swapTime
	if failed {
		took += probeTime
		e.run.discarded += e.running()
	}
	e.run.sim.After(took, func() {
		e.swaps = false
		e.run.lose(begin, 1)
		if failed {
			e.activate()
			return
		}
		e.run.activated(e, version)
	})
}
