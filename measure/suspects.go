package measure

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/retry"
	"github.com/radishshelf/radishshelf/routing"
)

// Parameters of the crash scenario. The caller of the poisonous request sends it again for three minutes whatever the
// answer is.
const (
	suspectsLength   = 10 * time.Minute
	poisonFrom       = 2 * time.Minute
	poisonUntil      = 5 * time.Minute
	poisonRepeat     = 5 * time.Second
	poisonCrashAfter = time.Second
	engineRestart    = time.Minute
	syncInterval     = time.Second
)

// SuspectsScenario compares the crash quarantine with none.
// The engines run at the given share of their capacity; the busier they are, the fewer suspects find an idle one.
func SuspectsScenario(load float64) Scenario {
	return Scenario{
		Name:     fmt.Sprintf("(e) crash suspects at %g of capacity: one request kills each engine that runs it and is sent every 5 s for 3 min", load),
		Baseline: "no quarantine, same router and retry budget",
		Run: func(u User, seed int64) []Figure {
			policy := runSuspects(u, seed, load, true)
			baseline := runSuspects(u, seed, load, false)
			return []Figure{
				{"upstreams lost", "crashes", LowerIsBetter, policy.crashes, baseline.crashes},
				{"time until every entry restricts it", "s (180: never)", LowerIsBetter, policy.secondsToRestrict(), baseline.secondsToRestrict()},
				{"innocent refused as suspects", "requests", LowerIsBetter, policy.ordinaryRefused, baseline.ordinaryRefused},
				{"innocent without an answer", "of requests", LowerIsBetter, policy.failedFraction(), baseline.failedFraction()},
			}
		},
	}
}

// suspectsRun is what one run measured.
type suspectsRun struct {
	sim              *Sim
	user             User
	entries          []*Entry
	quarantines      []*quarantine.List
	budgets          []*retry.Budget
	policy           bool
	lastID           int
	ordinaryRequests float64
	ordinaryFailed   float64
	ordinaryRefused  float64
	crashes          float64
	// firstCrash and refusedAt bound the time until every entry restricts the poison.
	firstCrash   time.Time
	restrictedAt time.Time
}

func (r *suspectsRun) failedFraction() float64 { return r.ordinaryFailed / r.ordinaryRequests }

func (r *suspectsRun) secondsToRestrict() float64 {
	if r.restrictedAt.IsZero() {
		return (poisonUntil - poisonFrom).Seconds()
	}
	return r.restrictedAt.Sub(r.firstCrash).Seconds()
}

// clientRequest is one request, innocent or poisonous, at the entry with index node.
type clientRequest struct {
	id          string
	entry       int
	poison      bool
	fingerprint string
	request     Request
	attempt     int
	excluded    []string
}

// poisonFingerprint is the fingerprint of the poisonous request.
var poisonFingerprint = quarantine.Fingerprint("a", "p", []byte("poison"))

func runSuspects(u User, seed int64, load float64, policy bool) *suspectsRun {
	s := NewSim(seed)
	cfg := DefaultEngineConfig()
	engines := u.Engines(s, cfg)
	r := &suspectsRun{sim: s, user: u, policy: policy}
	for region := range u.Regions {
		r.entries = append(r.entries, NewEntry(s, u, region, engines, cfg))
		r.quarantines = append(r.quarantines, quarantine.New(quarantine.DefaultConfig()))
		r.budgets = append(r.budgets, retry.NewBudget(retry.DefaultBudgetConfig(), s.Now()))
	}
	StartReports(s, r.entries, cfg)
	s.Every(syncInterval, r.syncSuspects)
	generator := NewRequestGenerator(s, u, cfg)
	rate := load * cfg.Capacity() * float64(len(engines)) / u.MeanResponseTokens
	s.Poisson(func() float64 { return rate }, func() { r.submit(pickWeighted(s, u.RegionWeights), false, generator.Next()) })
	s.After(poisonFrom, func() { r.sendPoison(generator) })
	s.Run(suspectsLength)
	return r
}

// sendPoison sends the request through a random entry, again and again.
func (r *suspectsRun) sendPoison(generator *RequestGenerator) {
	if r.sim.Elapsed() >= poisonUntil {
		return
	}
	r.submit(r.sim.Rand.Intn(len(r.entries)), true, generator.Next())
	r.sim.After(poisonRepeat, func() { r.sendPoison(generator) })
}

func (r *suspectsRun) submit(entry int, poison bool, req Request) {
	r.lastID++
	c := &clientRequest{id: fmt.Sprint(r.lastID), entry: entry, poison: poison, fingerprint: poisonFingerprint, request: req}
	if !poison {
		r.ordinaryRequests++
		c.fingerprint = quarantine.Fingerprint("a", "p", []byte(c.id))
	}
	r.budgets[entry].AddFirstAttempt(r.sim.Now())
	r.startAttempt(c)
}

// startAttempt checks the quarantine, routes and sends one attempt.
func (r *suspectsRun) startAttempt(c *clientRequest) {
	c.attempt++
	entry := r.entries[c.entry]
	action := quarantine.Run
	if r.policy {
		action = r.quarantines[c.entry].Check(c.fingerprint, r.sim.Now()).Action
	}
	if action == quarantine.Refuse {
		r.fail(c, true)
		return
	}
	// The agent refuses other work while it runs an exclusive request; the model tells the router at once.
	for i, e := range entry.Engines {
		entry.Candidates[i].Reserved = e.Reserved()
	}
	exclusive := action == quarantine.RunAlone
	req := routing.Request{
		ID: c.id, Serves: "p", Prefix: c.request.Blocks, CostTokens: int64(r.user.MeanResponseTokens), Excluded: c.excluded,
		Exclusive: exclusive,
	}
	d, err := entry.Router.Route(req, entry.Candidates, r.sim.Now())
	if err != nil {
		r.fail(c, exclusive)
		return
	}
	r.send(c, entry, entry.Engines[entry.EngineIndex(d.Chosen.Name)], exclusive)
}

func (r *suspectsRun) send(c *clientRequest, entry *Entry, engine *Engine, exclusive bool) {
	attempt := fmt.Sprint(c.id, "#", c.attempt)
	entry.InFlight.Sent(attempt, engine.Name, int64(r.user.MeanResponseTokens), r.sim.Now())
	finish := func(result outcome.Outcome) {
		entry.InFlight.Done(attempt)
		r.attemptEnded(c, engine, result, exclusive)
	}
	r.sim.After(entry.Delay(engine), func() {
		if engine.Down || (exclusive && engine.Outstanding() > 0) {
			finish(outcome.NotRun)
			return
		}
		incarnation := engine.Incarnation
		engine.Submit(&Job{
			ID: c.fingerprint, Prompt: c.request.Blocks, PromptTokens: c.request.PromptTokens, ResponseTokens: c.request.ResponseTokens,
			EstimatedTokens: int64(r.user.MeanResponseTokens), Exclusive: exclusive,
			Done: func(f Result) {
				if f.Failed {
					finish(outcome.MayHaveRun)
					return
				}
				finish(outcome.Ran)
			},
		})
		if !c.poison {
			return
		}
		r.sim.After(poisonCrashAfter, func() {
			if engine.Incarnation == incarnation && !engine.Down {
				r.crash(engine)
			}
		})
	})
}

// attemptEnded retries a failed attempt as the retry policy allows.
func (r *suspectsRun) attemptEnded(c *clientRequest, engine *Engine, result outcome.Outcome, exclusive bool) {
	if result == outcome.Ran {
		return
	}
	c.excluded = append(c.excluded, engine.Name)
	// The entry sees the broken connection at once; a later report can show the engine alive again.
	r.entries[c.entry].Candidates[r.entries[c.entry].EngineIndex(engine.Name)].Alive = result == outcome.NotRun && !engine.Down
	facts := retry.Attempt{Number: c.attempt, Outcome: result, Idempotent: true, DeadlineLeft: time.Minute}
	if retry.DefaultPolicy().Decide(facts, r.budgets[c.entry], r.sim.Now()).Retry {
		r.startAttempt(c)
		return
	}
	r.fail(c, exclusive)
}

// fail gives up a request; suspect says that the quarantine was the reason.
func (r *suspectsRun) fail(c *clientRequest, byQuarantine bool) {
	if c.poison {
		return
	}
	r.ordinaryFailed++
	if byQuarantine {
		r.ordinaryRefused++
	}
}
