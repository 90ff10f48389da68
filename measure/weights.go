package measure

import (
	"math"
	"time"
)

// Publications of the weight scenario; the last one is not measured, because the run ends with it.
const weightVersions = 6

// Swaps of the weight scenario.
const (
	// swapTime is how long an engine stands still to activate a staged version.
	swapTime = 500 * time.Millisecond
	// stagingSlowdown is the share of its speed that an engine loses while it receives a version in the background.
	stagingSlowdown = 0.03
	// swapFailure is the share of loads and swaps that fail partway; the engine gives no samples until a probe.
	swapFailure = 0.01
	// probeTime is the longest that an agent waits for a probe.
	probeTime = 2 * time.Second
	// heartbeat is how often an agent asks for the wanted state; reportLoss of the heartbeats are lost.
	heartbeat = time.Second
	// The wait of an agent for a copy in its data centre, as in package agent.
	storeFallback       = 5 * time.Minute
	storeFallbackSpread = 5 * time.Minute
	// hangTime is when an engine gives up a transfer that hangs, as the stand-in engine does.
	hangTime = 10 * time.Minute
	// hangingCopies is the share of the copies that hang, in the figures named after it.
	hangingCopies = 0.005
)

// WeightsScenario compares the rollout planner with engines that load on their own.
func WeightsScenario() Scenario {
	return Scenario{
		Name:     "(h) weight versions: staged with one fetch per data centre, activated together; 1% of loads and swaps fail partway",
		Baseline: "each engine stops, loads from the weight store and goes on when told of a version",
		Fleets:   weightFleets(),
		Run: func(u User, seed int64) []Figure {
			policy := runWeights(u, seed, true, 0)
			baseline := runWeights(u, seed, false, 0)
			hanging := runWeights(u, seed, true, hangingCopies)
			return []Figure{
				{"published to active on all, mean", "s", LowerIsBetter, mean(policy.toAll()), mean(baseline.toAll())},
				{"first activation to 95%, mean", "s", LowerIsBetter, mean(policy.spreads(0.95)), mean(baseline.spreads(0.95))},
				{"first to last activation, mean", "s", LowerIsBetter, mean(policy.spreads(1)), mean(baseline.spreads(1))},
				{"engine time lost to loading", "of time", LowerIsBetter, policy.lostShare(), baseline.lostShare()},
				{"samples discarded", "/engine and version", LowerIsBetter, policy.discardedEach(), baseline.discardedEach()},
				{"cross-region volume", "GB/version", LowerIsBetter, policy.crossEach(), baseline.crossEach()},
				{"0.5% of copies hang: published to 95%", "s", LowerIsBetter, mean(hanging.toShare(0.95)), mean(baseline.toShare(0.95))},
				{"0.5% of copies hang: published to all", "s", LowerIsBetter, mean(hanging.toAll()), mean(baseline.toAll())},
			}
		},
	}
}

// weightFleets are today's users, whose fleets have the same size, and the design size.
func weightFleets() []User {
	today := Users()[0]
	today.Name = "both"
	return []User{today, designSize()}
}

// weightSizes are the sizes of weights and links that belong to a fleet.
type weightSizes struct {
	dataCentres, enginesEach int
	gigabytes                float64
	// store is the rate limit of the weight store and copy the rate of one copy between engines, in GB/s.
	store, copy float64
	period      time.Duration
}

// weightSizesOf returns an 8-billion-parameter model for today's users and one of 70 billion at the design size.
func weightSizesOf(u User) weightSizes {
	if u.Name == designSize().Name {
		return weightSizes{dataCentres: 8, enginesEach: 85, gigabytes: 140, store: 10, copy: 6, period: 14 * time.Minute}
	}
	return weightSizes{
		dataCentres: len(u.Regions), enginesEach: u.EnginesPerRegion, gigabytes: 16, store: 1, copy: 3, period: 4 * time.Minute,
	}
}

// designSize is the fleet of the design page: 680 servers in 8 data centres of 2 regions.
func designSize() User {
	return User{
		Name: "design size", Regions: []string{"r1", "r2"}, EnginesPerRegion: 340, CrossRegionDelay: 20 * time.Millisecond,
		MeanResponseTokens: 200,
	}
}

// weightsRun is the fleet and what one run measured.
type weightsRun struct {
	sim     *Sim
	user    User
	sizes   weightSizes
	engines []*weightEngine
	store   *sharedLink
	// published holds the time of publication of each version from 1.
	published []time.Time
	// reached holds when each engine first had a version or a newer one, by version and in the order of time.
	reached   map[int64][]time.Time
	lost      float64
	discarded int
	cross     float64
	// hanging is the share of the copies between engines that hang.
	hanging float64
}

func runWeights(u User, seed int64, policy bool, hanging float64) *weightsRun {
	s := NewSim(seed)
	sizes := weightSizesOf(u)
	r := &weightsRun{
		sim: s, user: u, sizes: sizes, store: &sharedLink{sim: s, rate: sizes.store},
		reached: map[int64][]time.Time{}, hanging: hanging,
	}
	for dc := range sizes.dataCentres {
		for range sizes.enginesEach {
			region := dc * len(u.Regions) / sizes.dataCentres
			r.engines = append(r.engines, newWeightEngine(r, dc, region))
		}
	}
	if policy {
		newWeightRollout(r).begin()
	} else {
		r.loadAlone()
	}
	for v := range weightVersions {
		s.After(time.Duration(v)*sizes.period, func() { r.published = append(r.published, s.Now()) })
	}
	s.Run(r.length())
	for _, e := range r.engines {
		if e.stopped {
			r.lose(e.stoppedAt, 1)
		}
	}
	return r
}

func (r *weightsRun) length() time.Duration { return (weightVersions - 1) * r.sizes.period }

// newest is the newest published version.
func (r *weightsRun) newest() int64 { return int64(len(r.published)) }

// activated records an engine's change of version.
func (r *weightsRun) activated(e *weightEngine, version int64) {
	for v := e.active + 1; v <= version; v++ {
		r.reached[v] = append(r.reached[v], r.sim.Now())
	}
	e.active = version
}

// reachedBy returns when a share of the engines had a version, or the end of the run if that is later.
func (r *weightsRun) reachedBy(version int64, share float64) time.Time {
	times := r.reached[version]
	need := max(1, int(math.Ceil(share*float64(len(r.engines)))))
	if need > len(times) {
		return r.sim.Now()
	}
	return times[need-1]
}

func (r *weightsRun) toAll() []float64 { return r.toShare(1) }

// toShare are the times from each publication until a share of the engines had the version.
func (r *weightsRun) toShare(share float64) []float64 {
	var all []float64
	for v := int64(1); v < weightVersions; v++ {
		all = append(all, r.reachedBy(v, share).Sub(r.published[v-1]).Seconds())
	}
	return all
}

// spreads are the times between the first activation and that of a share of the engines. A version that no engine
// reached counts from its publication.
func (r *weightsRun) spreads(share float64) []float64 {
	var all []float64
	for v := int64(1); v < weightVersions; v++ {
		first := r.published[v-1]
		if len(r.reached[v]) > 0 {
			first = r.reachedBy(v, 0)
		}
		all = append(all, r.reachedBy(v, share).Sub(first).Seconds())
	}
	return all
}

func (r *weightsRun) lostShare() float64 {
	return r.lost / (float64(len(r.engines)) * r.length().Seconds())
}

// perVersion divides a sum by the measured versions.
func (r *weightsRun) perVersion(sum float64) float64 { return sum / (weightVersions - 1) }

func (r *weightsRun) discardedEach() float64 {
	return r.perVersion(float64(r.discarded)) / float64(len(r.engines))
}

func (r *weightsRun) crossEach() float64 { return r.perVersion(r.cross) }
