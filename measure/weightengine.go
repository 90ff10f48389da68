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
	activeVersion int64
	stagedVersion int64
	// wanted is the last rollout that a heartbeat brought.
	wanted         fleetconfig.Rollout
	wantedSince    time.Time
	loadingVersion int64
	// cancel ends the transfer of loading.
	cancel func()
	// swapFailures counts swaps that failed in a row.
	swapFailures int
	swapping     bool
	// stopped engines serve nothing since stoppedAt.
	stopped   bool
	stoppedAt time.Time
}

func newWeightEngine(r *weightsRun, dataCentre, region int) *weightEngine {
	return &weightEngine{
		run: r, index: len(r.engines), name: fmt.Sprintf("e%d", len(r.engines)), dataCentre: dataCentre, region: region,
		uplink: &sharedLink{sim: r.sim, rate: maxFullSpeedCopies * r.sizes.copyRate, maxTransferRate: r.sizes.copyRate},
	}
}

// loadIndependently makes every engine load the newest version when a heartbeat tells of it.
func (r *weightsRun) loadIndependently() {
	for _, e := range r.engines {
		r.onHeartbeats(func() {
			if e.loadingVersion == 0 && r.newestVersion() > e.activeVersion {
				e.load(r.newestVersion())
			}
		})
	}
}

// onHeartbeats calls f with each heartbeat that arrives, from a random moment of the first second.
func (r *weightsRun) onHeartbeats(f func()) {
	r.sim.After(randomFraction(r.sim.Rand, heartbeatInterval), func() {
		r.sim.Every(heartbeatInterval, func() {
			if r.sim.Rand.Float64() >= reportLoss {
				f()
			}
		})
	})
}

func randomFraction(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(limit))
}

// load stops the engine, which ends what runs on it, and loads from the weight store.
func (e *weightEngine) load(version int64) {
	e.loadingVersion = version
	e.run.discardedSamples += e.runningRequests()
	e.stopped, e.stoppedAt = true, e.run.sim.Now()
	e.fetchFromStore(func() {
		finish := func() {
			e.run.addLostTime(e.stoppedAt, 1)
			e.stopped = false
			e.loadingVersion = 0
			e.run.recordActivation(e, version)
		}
		if e.run.sim.Rand.Float64() < swapFailureRate {
			e.run.sim.After(probeTimeout, func() { e.fetchFromStore(finish) })
			return
		}
		finish()
	})
}

// addLostTime counts a share of the engine's time from a moment until now, within the length of the run.
func (r *weightsRun) addLostTime(begin time.Time, share float64) {
	r.lostSeconds += share * r.sim.Now().Sub(begin).Seconds()
}

// runningRequests is how many answers an engine generates at a random moment; seven of ten slots are in use.
func (e *weightEngine) runningRequests() int {
	return int(0.7 * float64(DefaultEngineConfig().Slots))
}

// fetchFromStore transfers a version from the weight store, which is in the first region.
func (e *weightEngine) fetchFromStore(done func()) {
	crossRegion := e.region != 0
	if crossRegion {
		e.run.crossRegionGigabytes += e.run.sizes.weightGigabytes
	}
	t := e.run.storeLink.start(e.run.sizes.weightGigabytes, done)
	e.cancel = func() {
		if left := e.run.storeLink.cancel(t); crossRegion {
			e.run.crossRegionGigabytes -= left
		}
	}
}

// report is what the engine's heartbeat tells the planner.
func (e *weightEngine) report() rollout.Engine {
	return rollout.Engine{Upstream: e.name, WeightsURL: e.name, Healthy: true, Active: e.activeVersion, Staged: []int64{e.stagedVersion}}
}

// activate swaps to the wanted version when it is staged. A failed swap is repeated after the probe and a
// pause.
func (e *weightEngine) activate() {
	version := e.wanted.Version
	if e.swapping || e.activeVersion >= version || e.stagedVersion != version {
		return
	}
	e.swapping = true
	begin := e.run.sim.Now()
	failed := e.run.sim.Rand.Float64() < swapFailureRate
	took := swapTime
	if failed {
		e.swapFailures++
		took += probeTimeout + rollout.SwapPause(e.swapFailures, e.run.sim.Rand.Float64())
		e.run.discardedSamples += e.runningRequests()
	}
	e.run.sim.After(took, func() {
		e.swapping = false
		e.run.addLostTime(begin, 1)
		if failed {
			e.activate()
			return
		}
		e.swapFailures = 0
		e.run.recordActivation(e, version)
	})
}
