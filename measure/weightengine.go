package measure

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rollout"
)

// weightEngine models how an engine and its agent handle weight versions.
type weightEngine struct {
	run   *weightsRun
	index int
	name  string
	// uplink carries the copies that other engines fetch from this one.
	uplink *sharedLink
	// storeFallback is how long the agent waits for a source in its data centre before it fetches from the weight
	// store.
	storeFallback time.Duration
	dataCentre    int
	region        int
	activeVersion int64
	stagedVersion int64
	// wanted is the rollout that the last heartbeat returned, and wantedSince when its version last changed.
	wanted         fleetconfig.Rollout
	wantedSince    time.Time
	loadingVersion int64
	// cancel aborts the transfer of loadingVersion.
	cancel func()
	// swapFailures counts consecutive failed swaps.
	swapFailures int
	swapping     bool
	// stopped engines have served no requests since stoppedAt.
	stopped   bool
	stoppedAt time.Time
}

func newWeightEngine(r *weightsRun, dataCentre, region int) *weightEngine {
	return &weightEngine{
		run: r, index: len(r.engines), name: fmt.Sprintf("e%d", len(r.engines)), dataCentre: dataCentre, region: region,
		uplink: &sharedLink{sim: r.sim, rate: maxFullSpeedCopies * r.sizes.copyRate, maxTransferRate: r.sizes.copyRate},
	}
}

// loadIndependently makes every engine load the newest version when it learns of it through a heartbeat.
func (r *weightsRun) loadIndependently() {
	for _, e := range r.engines {
		r.onHeartbeats(func() {
			if e.loadingVersion == 0 && r.newestVersion() > e.activeVersion {
				e.load(r.newestVersion())
			}
		})
	}
}

// onHeartbeats calls f for each heartbeat that is not lost, starting at a random time in the first interval.
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

// load stops the engine, which discards its running requests, and loads a version from the weight store.
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

// addLostTime adds a share of one engine's time from begin until now to the lost time.
func (r *weightsRun) addLostTime(begin time.Time, share float64) {
	r.lostSeconds += share * r.sim.Now().Sub(begin).Seconds()
}

// runningRequests returns the number of requests that run on an engine with 70% of its slots in use.
func (e *weightEngine) runningRequests() int {
	return int(0.7 * float64(DefaultEngineConfig().Slots))
}

// fetchFromStore transfers a version from the weight store, which is in the first region; transfers to other regions
// count as cross-region volume.
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

// report returns the state that the agent sends to the planner in a heartbeat.
func (e *weightEngine) report() rollout.Engine {
	return rollout.Engine{Upstream: e.name, WeightsURL: e.name, Healthy: true, Active: e.activeVersion, Staged: []int64{e.stagedVersion}}
}

// activate swaps to the wanted version if it is staged. A failed swap is retried after a probe and a backoff delay.
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
		took += probeTimeout + rollout.SwapRetryDelay(e.swapFailures, e.run.sim.Rand.Float64())
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
