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
				{"time until every entry restricts it", "s (180: never)", LowerIsBetter, policy.refusing(), baseline.refusing()},
				{"innocent refused as suspects", "requests", LowerIsBetter, policy.refused, baseline.refused},
				{"innocent without an answer", "of requests", LowerIsBetter, policy.unanswered(), baseline.unanswered()},
			}
		},
	}
}

// suspectsRun is what one run measured.
type suspectsRun struct {
	sim      *Sim
	user     User
	nodes    []*Entry
	lists    []*quarantine.List
	budgets  []*retry.Budget
	policy   bool
	serial   int
	requests float64
	failed   float64
	refused  float64
	crashes  float64
	// firstCrash and refusedAt bound the time until every entry restricts the poison.
	firstCrash time.Time
	refusedAt  time.Time
}

func (r *suspectsRun) unanswered() float64 { return r.failed / r.requests }

func (r *suspectsRun) refusing() float64 {
	if r.refusedAt.IsZero() {
		return (poisonUntil - poisonFrom).Seconds()
	}
	return r.refusedAt.Sub(r.firstCrash).Seconds()
}

// call is one request, innocent or poisonous, at the entry with index node.
type call struct {
	id          string
	node        int
	poison      bool
	fingerprint string
	prompt      Request
	attempt     int
	excluded    []string
}

// poisonPrint is the fingerprint of the poisonous request.
var poisonPrint = quarantine.Fingerprint("a", "p", []byte("poison"))

func runSuspects(u User, seed int64, load float64, policy bool) *suspectsRun {
	s := NewSim(seed)
	cfg := DefaultEngineConfig()
	engines := u.Engines(s, cfg)
	r := &suspectsRun{sim: s, user: u, policy: policy}
	for region := range u.Regions {
		r.nodes = append(r.nodes, NewEntry(s, u, region, engines, cfg))
		r.lists = append(r.lists, quarantine.New(quarantine.DefaultConfig()))
		r.budgets = append(r.budgets, retry.NewBudget(retry.DefaultBudgetConfig(), s.Now()))
	}
	StartReports(s, r.nodes, cfg)
	s.Every(syncInterval, r.sync)
	prompts := NewRequestGenerator(s, u, cfg)
	rate := load * cfg.Capacity() * float64(len(engines)) / u.MeanResponseTokens
	s.Poisson(func() float64 { return rate }, func() { r.offer(pick(s, u.RegionWeights), false, prompts.Next()) })
	s.After(poisonFrom, func() { r.poison(prompts) })
	s.Run(suspectsLength)
	return r
}

// poison sends the request through a random entry, again and again.
func (r *suspectsRun) poison(prompts *RequestGenerator) {
	if r.sim.Elapsed() >= poisonUntil {
		return
	}
	r.offer(r.sim.Rand.Intn(len(r.nodes)), true, prompts.Next())
	r.sim.After(poisonRepeat, func() { r.poison(prompts) })
}

func (r *suspectsRun) offer(node int, poison bool, p Request) {
	r.serial++
	c := &call{id: fmt.Sprint(r.serial), node: node, poison: poison, fingerprint: poisonPrint, prompt: p}
	if !poison {
		r.requests++
		c.fingerprint = quarantine.Fingerprint("a", "p", []byte(c.id))
	}
	r.budgets[node].AddFirstAttempt(r.sim.Now())
	r.try(c)
}

// try checks the quarantine, routes and sends one attempt.
func (r *suspectsRun) try(c *call) {
	c.attempt++
	node := r.nodes[c.node]
	action := quarantine.Run
	if r.policy {
		action = r.lists[c.node].Check(c.fingerprint, r.sim.Now()).Action
	}
	if action == quarantine.Refuse {
		r.end(c, true)
		return
	}
	// The agent refuses other work while it runs an exclusive request; the model tells the router at once.
	for i, e := range node.Engines {
		node.Candidates[i].Reserved = e.Reserved()
	}
	exclusive := action == quarantine.RunAlone
	req := routing.Request{
		ID: c.id, Serves: "p", Prefix: c.prompt.Blocks, CostTokens: int64(r.user.MeanResponseTokens), Excluded: c.excluded,
		Exclusive: exclusive,
	}
	d, err := node.Router.Route(req, node.Candidates, r.sim.Now())
	if err != nil {
		r.end(c, exclusive)
		return
	}
	r.send(c, node, node.Engines[node.EngineIndex(d.Chosen.Name)], exclusive)
}

func (r *suspectsRun) send(c *call, node *Entry, engine *Engine, exclusive bool) {
	attempt := fmt.Sprint(c.id, "#", c.attempt)
	node.InFlight.Sent(attempt, engine.Name, int64(r.user.MeanResponseTokens), r.sim.Now())
	finish := func(result outcome.Outcome) {
		node.InFlight.Done(attempt)
		r.finished(c, engine, result, exclusive)
	}
	r.sim.After(node.Delay(engine), func() {
		if engine.Down || (exclusive && engine.Outstanding() > 0) {
			finish(outcome.NotRun)
			return
		}
		incarnation := engine.Incarnation
		engine.Submit(&Job{
			ID: c.fingerprint, Prompt: c.prompt.Blocks, PromptTokens: c.prompt.PromptTokens, ResponseTokens: c.prompt.ResponseTokens,
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

// finished retries a failed attempt as the retry policy allows.
func (r *suspectsRun) finished(c *call, engine *Engine, result outcome.Outcome, exclusive bool) {
	if result == outcome.Ran {
		return
	}
	c.excluded = append(c.excluded, engine.Name)
	// The entry sees the broken connection at once; a later report can show the engine alive again.
	r.nodes[c.node].Candidates[r.nodes[c.node].EngineIndex(engine.Name)].Alive = result == outcome.NotRun && !engine.Down
	facts := retry.Attempt{Number: c.attempt, Outcome: result, Idempotent: true, DeadlineLeft: time.Minute}
	if retry.DefaultPolicy().Decide(facts, r.budgets[c.node], r.sim.Now()).Retry {
		r.try(c)
		return
	}
	r.end(c, exclusive)
}

// end gives up a request; suspect says that the quarantine was the reason.
func (r *suspectsRun) end(c *call, suspect bool) {
	if c.poison {
		return
	}
	r.failed++
	if suspect {
		r.refused++
	}
}
