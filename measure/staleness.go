package measure

import (
	"fmt"
	"math"
	"time"

	"github.com/radishshelf/radishshelf/lots"
)

// Length and load of the staleness scenario. Groups are produced 1.5 times as fast as the trainer consumes them, at a
// rate that fluctuates over about two minutes. A published version becomes active after the time that scenario (h)
// measures.
const (
	stalenessLength         = 3 * time.Hour
	stalenessWarmUp         = 30 * time.Minute
	stalenessOverproduction = 1.5
	stalenessNoise          = 0.4
	stalenessNoiseTime      = 2 * time.Minute
	stalenessRolloutTime    = 58 * time.Second
	// stalenessCountInterval is the interval at which entries update their count of ready samples.
	stalenessCountInterval = 15 * time.Second
)

// stalenessSettings holds the settings of a user's trainer. A maxReadySamples of 0 means no limit.
type stalenessSettings struct {
	maxStaleness    int64
	lotSamples      int
	stepTime        time.Duration
	order           lots.Order
	maxReadySamples int
	responseSeconds float64
}

// stalenessSettingsOf returns the settings agreed with the user. Hraunvegur has a lower staleness bound and smaller
// lots.
func stalenessSettingsOf(u User) stalenessSettings {
	responseSeconds := u.MeanResponseTokens * DefaultEngineConfig().stepTime(DefaultEngineConfig().Slots).Seconds()
	if u.Name == "Hraunvegur" {
		return stalenessSettings{maxStaleness: 3, lotSamples: 512, stepTime: 3 * time.Minute, responseSeconds: responseSeconds}
	}
	return stalenessSettings{maxStaleness: 6, lotSamples: 768, stepTime: 4 * time.Minute, responseSeconds: responseSeconds}
}

// StalenessScenario compares the given lot order and limit of ready samples with the default of oldest first without a
// limit. maxReadyLots is the limit in lots; 0 means none.
func StalenessScenario(order lots.Order, maxReadyLots float64) Scenario {
	name := fmt.Sprintf("(i) groups produced at 1.5 times what the trainer takes, weights swapped every 3-4 min: %s first", order)
	if maxReadyLots > 0 {
		name += fmt.Sprintf(", max_ready_samples %g lots", maxReadyLots)
	}
	return Scenario{
		Name:     name,
		Baseline: "oldest first without a bound on ready samples",
		Run: func(u User, seed int64) []Figure {
			settings := stalenessSettingsOf(u)
			baseline := runStaleness(u, seed, settings)
			settings.order = order
			settings.maxReadySamples = int(maxReadyLots * float64(settings.lotSamples))
			policy := runStaleness(u, seed, settings)
			return []Figure{
				{"staleness mean", "versions", LowerIsBetter, mean(policy.staleness), mean(baseline.staleness)},
				{"staleness max", "versions", LowerIsBetter, quantile(policy.staleness, 1), quantile(baseline.staleness, 1)},
				{"samples discarded as stale", "of generated", LowerIsBetter, policy.discardedFraction(), baseline.discardedFraction()},
				{"wasted tokens", "of generated", LowerIsBetter, policy.wastedFraction(), baseline.wastedFraction()},
				{"generated tokens", "/token trained on", LowerIsBetter, policy.generatedPerTrained(), baseline.generatedPerTrained()},
				{"trainer idle", "of time", LowerIsBetter, policy.idleFraction(), baseline.idleFraction()},
			}
		},
	}
}

// stalenessRun holds one trainer, its ready groups and the results of one run.
type stalenessRun struct {
	sim      *Sim
	user     User
	settings stalenessSettings
	// trainerVersion is the last version of the trainer and activeVersion the one that the engines use.
	trainerVersion, activeVersion int64
	ready                         []lots.ReadyGroup
	readySamples                  int
	// countedSamples is the number of ready samples at the last update of the entries.
	countedSamples int
	lastGroup      int
	noise          float64
	idleSince      time.Time
	tokens         map[string]int

	staleness        []float64
	idle             time.Duration
	generatedTokens  float64
	wastedTokens     float64
	trainedTokens    float64
	generatedSamples int
	discardedSamples int
}

func (r *stalenessRun) discardedFraction() float64 {
	return float64(r.discardedSamples) / float64(r.generatedSamples)
}

func (r *stalenessRun) wastedFraction() float64 { return r.wastedTokens / r.generatedTokens }

func (r *stalenessRun) generatedPerTrained() float64 { return r.generatedTokens / r.trainedTokens }

func (r *stalenessRun) idleFraction() float64 {
	return r.idle.Seconds() / (stalenessLength - stalenessWarmUp).Seconds()
}

func runStaleness(u User, seed int64, settings stalenessSettings) *stalenessRun {
	s := NewSim(seed)
	r := &stalenessRun{sim: s, user: u, settings: settings, trainerVersion: 1, activeVersion: 1, idleSince: s.Now(), tokens: map[string]int{}}
	s.Every(time.Second, func() {
		correlation := 1 - 1/stalenessNoiseTime.Seconds()
		r.noise = correlation*r.noise + stalenessNoise*noiseScale(correlation)*s.Rand.NormFloat64()
		if r.idleSince != (time.Time{}) {
			r.pull()
		}
	})
	s.Every(stalenessCountInterval, func() { r.countedSamples = r.readySamples })
	rate := func() float64 {
		// The subtraction gives the log-normal factor a mean of 1.
		burst := math.Exp(r.noise - stalenessNoise*stalenessNoise/2)
		return stalenessOverproduction * float64(settings.lotSamples) / groupSize / settings.stepTime.Seconds() * burst
	}
	s.Poisson(rate, r.generateGroup)
	s.Run(stalenessLength)
	return r
}

// warmedUp reports whether the warm-up is over, after which results are recorded.
func (r *stalenessRun) warmedUp() bool { return r.sim.Elapsed() >= stalenessWarmUp }

// generateGroup starts generating a group unless too many samples are ready.
func (r *stalenessRun) generateGroup() {
	if r.settings.maxReadySamples > 0 && r.countedSamples > r.settings.maxReadySamples {
		return
	}
	version := r.activeVersion
	slowest, tokens := 0.0, 0
	for range groupSize {
		responseTokens := lognormal(r.sim, r.user.MeanResponseTokens, 0.6, int(8*r.user.MeanResponseTokens))
		slowest = max(slowest, float64(responseTokens)/r.user.MeanResponseTokens*r.settings.responseSeconds)
		tokens += responseTokens
	}
	r.sim.After(seconds(slowest), func() { r.groupCompleted(version, tokens) })
}

func (r *stalenessRun) groupCompleted(version int64, tokens int) {
	r.lastGroup++
	g := lots.ReadyGroup{Key: fmt.Sprintf("%08d", r.lastGroup), Samples: groupSize, OldestVersion: version}
	r.ready = append(r.ready, g)
	r.readySamples += g.Samples
	r.tokens[g.Key] = tokens
	if r.warmedUp() {
		r.generatedSamples += g.Samples
		r.generatedTokens += float64(tokens)
	}
}

// pull selects a lot and trains on it if enough samples are ready, and drops stale groups.
func (r *stalenessRun) pull() {
	spec := lots.Spec{MaxStaleness: r.settings.maxStaleness, LotSamples: r.settings.lotSamples, Order: r.settings.order}
	selection := lots.SelectGroups(spec, r.trainerVersion, r.ready)
	for _, g := range selection.Discarded {
		r.removeReady(g.ReadyGroup)
		if r.warmedUp() {
			r.discardedSamples += g.Samples
			r.wastedTokens += float64(r.tokens[g.Key])
		}
	}
	if len(selection.Selected) == 0 {
		return
	}
	for _, g := range selection.Selected {
		r.removeReady(g)
		if r.warmedUp() {
			r.trainedTokens += float64(r.tokens[g.Key])
			r.staleness = append(r.staleness, float64(r.trainerVersion-g.OldestVersion))
		}
	}
	r.train()
}

// train adds the idle time that ends now, and publishes a version after the training step.
func (r *stalenessRun) train() {
	since := r.idleSince
	if warmUpEnd := epoch.Add(stalenessWarmUp); since.Before(warmUpEnd) {
		since = warmUpEnd
	}
	r.idle += max(0, r.sim.Now().Sub(since))
	r.idleSince = time.Time{}
	r.sim.After(r.settings.stepTime, func() {
		r.trainerVersion++
		version := r.trainerVersion
		r.sim.After(stalenessRolloutTime, func() { r.activeVersion = max(r.activeVersion, version) })
		r.idleSince = r.sim.Now()
		r.pull()
	})
}

// removeReady removes a group from the ready groups.
func (r *stalenessRun) removeReady(g lots.ReadyGroup) {
	for i, o := range r.ready {
		if o.Key == g.Key {
			r.ready = append(r.ready[:i:i], r.ready[i+1:]...)
			r.readySamples -= g.Samples
			return
		}
	}
}
