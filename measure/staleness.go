package measure

import (
	"fmt"
	"math"
	"time"

	"github.com/radishshelf/radishshelf/lots"
)

// Length and load of the staleness scenario. Groups are produced half as fast again as the trainer takes them, with
// bursts and lulls of about two minutes. A published version is active after the time that scenario (h) measures.
const (
	stalenessLength    = 3 * time.Hour
	stalenessWarmUp    = 30 * time.Minute
	stalenessExcess    = 1.5
	stalenessNoise     = 0.4
	stalenessNoiseTime = 2 * time.Minute
	stalenessRollout   = 58 * time.Second
	// stalenessCount is how old the count of ready samples may be that an entry uses.
	stalenessCount = 15 * time.Second
)

// stalenessSettings are those of a user's trainer.
type stalenessSettings struct {
	bound   int64
	lot     int
	step    time.Duration
	order   lots.Order
	ready   int
	seconds float64
}

// stalenessSettingsOf returns the agreed settings: Hraunvegur has the lower bound and the smaller lots.
func stalenessSettingsOf(u User) stalenessSettings {
	answer := u.MeanResponseTokens * DefaultEngineConfig().step(DefaultEngineConfig().Slots).Seconds()
	if u.Name == "Hraunvegur" {
		return stalenessSettings{bound: 3, lot: 512, step: 3 * time.Minute, seconds: answer}
	}
	return stalenessSettings{bound: 6, lot: 768, step: 4 * time.Minute, seconds: answer}
}

// StalenessScenario compares one order of the hand-over, and a bound on ready samples in lots, with the default; a bound
// of 0 is none.
func StalenessScenario(order lots.Order, bound float64) Scenario {
	name := fmt.Sprintf("(i) groups produced at 1.5 times what the trainer takes, weights swapped every 3-4 min: %s first", order)
	if bound > 0 {
		name += fmt.Sprintf(", max_ready_samples %g lots", bound)
	}
	return Scenario{
		Name:     name,
		Baseline: "oldest first without a bound on ready samples",
		Run: func(u User, seed int64) []Figure {
			settings := stalenessSettingsOf(u)
			baseline := runStaleness(u, seed, settings)
			settings.order = order
			settings.ready = int(bound * float64(settings.lot))
			policy := runStaleness(u, seed, settings)
			return []Figure{
				{"staleness mean", "versions", LowerIsBetter, mean(policy.ages), mean(baseline.ages)},
				{"staleness max", "versions", LowerIsBetter, quantile(policy.ages, 1), quantile(baseline.ages, 1)},
				{"samples discarded as stale", "of generated", LowerIsBetter, policy.discardedShare(), baseline.discardedShare()},
				{"wasted tokens", "of generated", LowerIsBetter, policy.wastedShare(), baseline.wastedShare()},
				{"generated tokens", "/token trained on", LowerIsBetter, policy.perTrained(), baseline.perTrained()},
				{"trainer idle", "of time", LowerIsBetter, policy.idleShare(), baseline.idleShare()},
			}
		},
	}
}

// stalenessRun is one trainer, its ready groups and what was measured.
type stalenessRun struct {
	sim      *Sim
	user     User
	settings stalenessSettings
	// step is the trainer's version and active the one that the engines use.
	step, active int64
	ready        []lots.Ready
	readySamples int
	// counted is the number of ready samples that the entries use.
	counted   int
	serial    int
	noise     float64
	idleSince time.Time
	tokens    map[string]int

	ages      []float64
	idle      time.Duration
	generated float64
	wasted    float64
	trained   float64
	samples   int
	discarded int
}

func (r *stalenessRun) discardedShare() float64 { return float64(r.discarded) / float64(r.samples) }

func (r *stalenessRun) wastedShare() float64 { return r.wasted / r.generated }

func (r *stalenessRun) perTrained() float64 { return r.generated / r.trained }

func (r *stalenessRun) idleShare() float64 {
	return r.idle.Seconds() / (stalenessLength - stalenessWarmUp).Seconds()
}

func runStaleness(u User, seed int64, settings stalenessSettings) *stalenessRun {
	s := NewSim(seed)
	r := &stalenessRun{sim: s, user: u, settings: settings, step: 1, active: 1, idleSince: s.Now(), tokens: map[string]int{}}
	s.Every(time.Second, func() {
		keep := 1 - 1/stalenessNoiseTime.Seconds()
		r.noise = keep*r.noise + stalenessNoise*noiseScale(keep)*s.Rand.NormFloat64()
		if r.idleSince != (time.Time{}) {
			r.pull()
		}
	})
	s.Every(stalenessCount, func() { r.counted = r.readySamples })
	rate := func() float64 {
		// The mean of the exponential of normal noise is above 1.
		burst := math.Exp(r.noise - stalenessNoise*stalenessNoise/2)
		return stalenessExcess * float64(settings.lot) / groupSize / settings.step.Seconds() * burst
	}
	s.Poisson(rate, r.request)
	s.Run(stalenessLength)
	return r
}

// counts reports that the warm-up is over.
func (r *stalenessRun) counts() bool { return r.sim.Elapsed() >= stalenessWarmUp }

// request generates a group unless too many samples are ready.
func (r *stalenessRun) request() {
	if r.settings.ready > 0 && r.counted > r.settings.ready {
		return
	}
	version := r.active
	slowest, tokens := 0.0, 0
	for range groupSize {
		answer := lognormal(r.sim, r.user.MeanResponseTokens, 0.6, int(8*r.user.MeanResponseTokens))
		slowest = max(slowest, float64(answer)/r.user.MeanResponseTokens*r.settings.seconds)
		tokens += answer
	}
	r.sim.After(seconds(slowest), func() { r.completed(version, tokens) })
}

func (r *stalenessRun) completed(version int64, tokens int) {
	r.serial++
	g := lots.Ready{Key: fmt.Sprintf("%08d", r.serial), Samples: groupSize, Oldest: version}
	r.ready = append(r.ready, g)
	r.readySamples += g.Samples
	r.tokens[g.Key] = tokens
	if r.counts() {
		r.samples += g.Samples
		r.generated += float64(tokens)
	}
}

// pull forms a lot and trains on it when enough samples are ready.
func (r *stalenessRun) pull() {
	spec := lots.Spec{MaxStaleness: r.settings.bound, LotSamples: r.settings.lot, Order: r.settings.order}
	f := lots.Form(spec, r.step, r.ready)
	for _, g := range f.Discard {
		r.drop(g.Ready)
		if r.counts() {
			r.discarded += g.Samples
			r.wasted += float64(r.tokens[g.Key])
		}
	}
	if len(f.Take) == 0 {
		return
	}
	for _, g := range f.Take {
		r.drop(g)
		if r.counts() {
			r.trained += float64(r.tokens[g.Key])
			r.ages = append(r.ages, float64(r.step-g.Oldest))
		}
	}
	r.train()
}

// train counts the wait that ends now, and publishes a version after the step.
func (r *stalenessRun) train() {
	since := r.idleSince
	if warm := epoch.Add(stalenessWarmUp); since.Before(warm) {
		since = warm
	}
	r.idle += max(0, r.sim.Now().Sub(since))
	r.idleSince = time.Time{}
	r.sim.After(r.settings.step, func() {
		r.step++
		version := r.step
		r.sim.After(stalenessRollout, func() { r.active = max(r.active, version) })
		r.idleSince = r.sim.Now()
		r.pull()
	})
}

// drop takes a group out of the ready ones.
func (r *stalenessRun) drop(g lots.Ready) {
	for i, o := range r.ready {
		if o.Key == g.Key {
			r.ready = append(r.ready[:i:i], r.ready[i+1:]...)
			r.readySamples -= g.Samples
			return
		}
	}
}
