package measure

import (
	"math"
	"time"
)

// weightVersions is the number of published versions. The last one is not measured, because the run ends at its
// publication.
const weightVersions = 6

// Swaps, transfers and heartbeats of the weight scenario.
const (
	// swapTime is how long an engine pauses to activate a staged version.
	swapTime = 500 * time.Millisecond
	// stagingSlowdown is the fraction of its speed that an engine loses while it stages a version in the background.
	stagingSlowdown = 0.03
	// swapFailureRate is the fraction of loads and swaps that fail partway. The engine then generates no samples until
	// a probe.
	swapFailureRate = 0.01
	// probeTimeout is the maximum time that an agent waits for the result of a probe.
	probeTimeout = 2 * time.Second
	// heartbeatInterval is how often an agent requests the wanted state; the fraction reportLoss of the heartbeats is
	// lost.
	heartbeatInterval = time.Second
	// Agents wait for a copy in their data centre for storeFallback plus a random part of storeFallbackSpread before
	// they fetch from the weight store, as in package agent.
	storeFallback       = 5 * time.Minute
	storeFallbackSpread = 5 * time.Minute
	// hangTimeout is the time after which an engine aborts a stalled transfer, as the stand-in engine does.
	hangTimeout = 10 * time.Minute
	// hangingCopyFraction is the fraction of copies that stall in the figures for hanging copies.
	hangingCopyFraction = 0.005
)

// WeightsScenario compares the rollout planner with engines that load each version independently.
func WeightsScenario() Scenario {
	return Scenario{
		Name:     "(h) weight versions: staged with one fetch per data centre, activated together; 1% of loads and swaps fail partway",
		Baseline: "each engine stops, loads from the weight store and resumes when it learns of a version",
		Fleets:   weightFleets(),
		Run: func(u User, seed int64) []Figure {
			policy := runWeights(u, seed, true, 0)
			baseline := runWeights(u, seed, false, 0)
			hanging := runWeights(u, seed, true, hangingCopyFraction)
			return []Figure{
				{"published to active on all, mean", "s", LowerIsBetter, mean(policy.secondsToAll()), mean(baseline.secondsToAll())},
				{"first activation to 95%, mean", "s", LowerIsBetter, mean(policy.activationSpreads(0.95)), mean(baseline.activationSpreads(0.95))},
				{"first to last activation, mean", "s", LowerIsBetter, mean(policy.activationSpreads(1)), mean(baseline.activationSpreads(1))},
				{"engine time lost to loading", "of time", LowerIsBetter, policy.lostFraction(), baseline.lostFraction()},
				{"samples discarded", "/engine and version", LowerIsBetter, policy.discardedPerEngine(), baseline.discardedPerEngine()},
				{"cross-region volume", "GB/version", LowerIsBetter, policy.crossRegionPerVersion(), baseline.crossRegionPerVersion()},
				{"0.5% of copies hang: published to 95%", "s", LowerIsBetter, mean(hanging.secondsToFraction(0.95)), mean(baseline.secondsToFraction(0.95))},
				{"0.5% of copies hang: published to all", "s", LowerIsBetter, mean(hanging.secondsToAll()), mean(baseline.secondsToAll())},
			}
		},
	}
}

// weightFleets returns one fleet for both current users, whose fleets have the same size, and the fleet of the design
// size.
func weightFleets() []User {
	current := Users()[0]
	current.Name = "both"
	return []User{current, designSize()}
}

// weightSizes holds the number of engines, the size of the weights and the link rates of a fleet.
type weightSizes struct {
	dataCentres, enginesPerDataCentre int
	weightGigabytes                   float64
	// storeRate is the total rate of the weight store and copyRate the rate of one copy between engines, both in GB/s.
	storeRate, copyRate float64
	publishInterval     time.Duration
}

// weightSizesOf returns the sizes for a model of 8 billion parameters for the current users, and of 70 billion at the
// design size.
func weightSizesOf(u User) weightSizes {
	if u.Name == designSize().Name {
		return weightSizes{dataCentres: 8, enginesPerDataCentre: 85, weightGigabytes: 140, storeRate: 10, copyRate: 6, publishInterval: 14 * time.Minute}
	}
	return weightSizes{
		dataCentres: len(u.Regions), enginesPerDataCentre: u.EnginesPerRegion, weightGigabytes: 16,
		storeRate: 1, copyRate: 3, publishInterval: 4 * time.Minute,
	}
}

// designSize returns the fleet of the design page: 680 servers in 8 data centres of 2 regions.
func designSize() User {
	return User{
		Name: "design size", Regions: []string{"r1", "r2"}, EnginesPerRegion: 340, CrossRegionDelay: 20 * time.Millisecond,
		MeanResponseTokens: 200,
	}
}

// weightsRun holds the fleet and the results of one run.
type weightsRun struct {
	sim       *Sim
	user      User
	sizes     weightSizes
	engines   []*weightEngine
	storeLink *sharedLink
	// published holds the publication time of each version, starting with version 1.
	published []time.Time
	// activations holds, for each version, the times in ascending order at which engines first had it or a newer one.
	activations          map[int64][]time.Time
	lostSeconds          float64
	discardedSamples     int
	crossRegionGigabytes float64
	// hangingFraction is the fraction of copies between engines that stall.
	hangingFraction float64
}

func runWeights(u User, seed int64, policy bool, hangingFraction float64) *weightsRun {
	s := NewSim(seed)
	sizes := weightSizesOf(u)
	r := &weightsRun{
		sim: s, user: u, sizes: sizes, storeLink: &sharedLink{sim: s, rate: sizes.storeRate},
		activations: map[int64][]time.Time{}, hangingFraction: hangingFraction,
	}
	for dc := range sizes.dataCentres {
		for range sizes.enginesPerDataCentre {
			region := dc * len(u.Regions) / sizes.dataCentres
			r.engines = append(r.engines, newWeightEngine(r, dc, region))
		}
	}
	if policy {
		newWeightRollout(r).start()
	} else {
		r.loadIndependently()
	}
	for v := range weightVersions {
		s.After(time.Duration(v)*sizes.publishInterval, func() { r.published = append(r.published, s.Now()) })
	}
	s.Run(r.duration())
	for _, e := range r.engines {
		if e.stopped {
			r.addLostTime(e.stoppedAt, 1)
		}
	}
	return r
}

func (r *weightsRun) duration() time.Duration { return (weightVersions - 1) * r.sizes.publishInterval }

// newestVersion returns the newest published version.
func (r *weightsRun) newestVersion() int64 { return int64(len(r.published)) }

// recordActivation sets the active version of an engine and records the time for all versions that it reached.
func (r *weightsRun) recordActivation(e *weightEngine, version int64) {
	for v := e.activeVersion + 1; v <= version; v++ {
		r.activations[v] = append(r.activations[v], r.sim.Now())
	}
	e.activeVersion = version
}

// timeReached returns when a fraction of the engines had activated a version, or the end of the run if they had not.
func (r *weightsRun) timeReached(version int64, share float64) time.Time {
	times := r.activations[version]
	need := max(1, int(math.Ceil(share*float64(len(r.engines)))))
	if need > len(times) {
		return r.sim.Now()
	}
	return times[need-1]
}

func (r *weightsRun) secondsToAll() []float64 { return r.secondsToFraction(1) }

// secondsToFraction returns, for each version, the seconds from its publication until a fraction of the engines had
// activated it.
func (r *weightsRun) secondsToFraction(fraction float64) []float64 {
	var all []float64
	for v := int64(1); v < weightVersions; v++ {
		all = append(all, r.timeReached(v, fraction).Sub(r.published[v-1]).Seconds())
	}
	return all
}

// activationSpreads returns, for each version, the seconds between its first activation and its activation by a
// fraction of the engines. A version that no engine has reached counts from its publication.
func (r *weightsRun) activationSpreads(fraction float64) []float64 {
	var all []float64
	for v := int64(1); v < weightVersions; v++ {
		first := r.published[v-1]
		if len(r.activations[v]) > 0 {
			first = r.timeReached(v, 0)
		}
		all = append(all, r.timeReached(v, fraction).Sub(first).Seconds())
	}
	return all
}

func (r *weightsRun) lostFraction() float64 {
	return r.lostSeconds / (float64(len(r.engines)) * r.duration().Seconds())
}

// perVersion divides a sum by the number of measured versions.
func (r *weightsRun) perVersion(sum float64) float64 { return sum / (weightVersions - 1) }

func (r *weightsRun) discardedPerEngine() float64 {
	return r.perVersion(float64(r.discardedSamples)) / float64(len(r.engines))
}

func (r *weightsRun) crossRegionPerVersion() float64 { return r.perVersion(r.crossRegionGigabytes) }
