package measure

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/retry"
	"github.com/radishshelf/radishshelf/routing"
)

// Parameters of the crash scenario. The caller of the poison request repeats it for three minutes, regardless of the
// response.
const (
	suspectsLength   = 10 * time.Minute
	poisonFrom       = 2 * time.Minute
	poisonUntil      = 5 * time.Minute
	poisonRepeat     = 5 * time.Second
	poisonCrashAfter = time.Second
	engineRestart    = time.Minute
	syncInterval     = time.Second
)

// SuspectsScenario compares the crash quarantine with no quarantine. load is the load of the engines as a fraction of
// their capacity; the higher it is, the fewer suspects find an idle engine on which they can run alone.
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
				{"other requests refused as suspects", "requests", LowerIsBetter, policy.ordinaryRefused, baseline.ordinaryRefused},
				{"other requests without a response", "of requests", LowerIsBetter, policy.failedFraction(), baseline.failedFraction()},
			}
		},
	}
}

// suspectsRun holds the state and the results of one run. The counters of ordinary requests exclude the poison request.
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
	// The time from firstCrash to restrictedAt is the time until every entry restricts the poison request.
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

// clientRequest is one request at the entry with the index entry; poison marks a poison request.
type clientRequest struct {
	id          string
	entry       int
	poison      bool
	fingerprint string
	request     Request
	attempt     int
	excluded    []string
}

// poisonFingerprint is the fingerprint of the poison request.
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

// sendPoison sends the poison request to a random entry, and repeats it every poisonRepeat until poisonUntil.
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

// startAttempt checks the quarantine, then routes and sends one attempt.
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
	// The agent refuses other requests while it runs an exclusive one; in the model, the router knows this immediately.
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
			ID: c.fingerprint, Prompt: c.request.Blocks, PromptTokens: c.request.PromptTokens,
			ResponseTokens: c.request.ResponseTokens, EstimatedTokens: int64(r.user.MeanResponseTokens), Exclusive: exclusive,
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

// attemptEnded retries a failed attempt if the retry policy allows it.
func (r *suspectsRun) attemptEnded(c *clientRequest, engine *Engine, result outcome.Outcome, exclusive bool) {
	if result == outcome.Ran {
		return
	}
	c.excluded = append(c.excluded, engine.Name)
	// The entry detects the broken connection immediately; a later report can mark the engine as alive again.
	r.entries[c.entry].Candidates[r.entries[c.entry].EngineIndex(engine.Name)].Alive = result == outcome.NotRun && !engine.Down
	lastAttempt := retry.Attempt{Number: c.attempt, Outcome: result, Idempotent: true, DeadlineLeft: time.Minute}
	if retry.DefaultPolicy().Decide(lastAttempt, r.budgets[c.entry], r.sim.Now()).Retry {
		r.startAttempt(c)
		return
	}
	r.fail(c, exclusive)
}

// fail ends a request without a response; byQuarantine says whether the quarantine was the reason.
func (r *suspectsRun) fail(c *clientRequest, byQuarantine bool) {
	if c.poison {
		return
	}
	r.ordinaryFailed++
	if byQuarantine {
		r.ordinaryRefused++
	}
}
