package measure

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rollout"
)

// weightEngine is an engine with its agent, as far as weights are concerned.
type weightEngine struct {
	run   *weightsRun
	index int
	name  string
	// uplink carries the copies that other engines take from this one.
	uplink *sharedLink
	// storeFallback is how long the engine waits for a source of its data centre.
	storeFallback time.Duration
	dataCentre    int
	region        int
	active        int64
	staged        int64
	// wanted is the last rollout that a heartbeat brought.
	wanted      fleetconfig.Rollout
	wantedSince time.Time
	loading     int64
	// cancel ends the transfer of loading.
	cancel func()
	// failures counts swaps that failed in a row.
	failures int
	swaps    bool
	// stopped engines serve nothing since stoppedAt.
	stopped   bool
	stoppedAt time.Time
}

func newWeightEngine(r *weightsRun, dataCentre, region int) *weightEngine {
	return &weightEngine{
		run: r, index: len(r.engines), name: fmt.Sprintf("e%d", len(r.engines)), dataCentre: dataCentre, region: region,
		uplink: &sharedLink{sim: r.sim, rate: copiesEach * r.sizes.copy, most: r.sizes.copy},
	}
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
	paid := e.region != 0
	if paid {
		e.run.cross += e.run.sizes.gigabytes
	}
	t := e.run.store.send(e.run.sizes.gigabytes, done)
	e.cancel = func() {
		if left := e.run.store.cancel(t); paid {
			e.run.cross -= left
		}
	}
}

// report is what the engine's heartbeat tells the planner.
func (e *weightEngine) report() rollout.Engine {
	return rollout.Engine{Upstream: e.name, WeightsURL: e.name, Healthy: true, Active: e.active, Staged: []int64{e.staged}}
}

// activate swaps to the wanted version when it is staged. A failed swap is repeated after the probe and a
// pause.
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
		e.failures++
		took += probeTime + rollout.SwapRetryDelay(e.failures, e.run.sim.Rand.Float64())
		e.run.discarded += e.running()
	}
	e.run.sim.After(took, func() {
		e.swaps = false
		e.run.lose(begin, 1)
		if failed {
			e.activate()
			return
		}
		e.failures = 0
		e.run.activated(e, version)
	})
}
