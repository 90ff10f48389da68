package measure

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/admission"
	"github.com/radishshelf/radishshelf/retry"
)

// hedgeInterval is how often running samples are checked.
const hedgeInterval = time.Second

// trainer keeps groups open, pulls lots of whole groups and publishes a version after each.
type trainer struct {
	sim     *Sim
	user    User
	pool    *Pool
	gate    *fairGate
	run     *groupsRun
	prompts *RequestGenerator
	name    string
	lot     int
	policy  bool

	version   int64
	training  bool
	idleSince time.Time
	serial    int
	open      []*group
	ready     []*group
	latencies retry.Latencies
	budget    *retry.Budget
}

func newTrainer(s *Sim, u User, p *Pool, g *fairGate, run *groupsRun, index, lot int, policy bool) *trainer {
	return &trainer{
		sim: s, user: u, pool: p, gate: g, run: run, prompts: NewRequestGenerator(s, u, p.cfg), name: fmt.Sprint("trainer-", index),
		lot: lot, policy: policy, idleSince: s.Now(), budget: retry.NewBudget(retry.DefaultBudgetConfig(), s.Now()),
	}
}

// counts reports that the warm-up is over.
func (t *trainer) counts() bool { return t.sim.Elapsed() >= groupsWarmUp }

// refill opens groups up to the limits.
func (t *trainer) refill() {
	for len(t.open) < openGroups && len(t.open)+len(t.ready) < t.lot {
		t.serial++
		g := &group{trainer: t, id: fmt.Sprintf("%s/%d", t.name, t.serial), begin: t.sim.Now(), missing: groupSize}
		t.open = append(t.open, g)
		for i := range groupSize {
			prompt := t.prompts.Next()
			if i > 0 {
				// All samples of a group answer the same prompt.
				prompt.Blocks = g.samples[0].prompt.Blocks
			}
			g.samples = append(g.samples, &sample{group: g, index: i, prompt: prompt})
		}
		for _, m := range g.samples {
			t.budget.AddFirstAttempt(t.sim.Now())
			m.offer()
		}
	}
}

// completed takes a whole group.
func (t *trainer) completed(g *group) {
	for i, o := range t.open {
		if o == g {
			t.open = append(t.open[:i], t.open[i+1:]...)
			break
		}
	}
	if t.counts() {
		t.run.whole = append(t.run.whole, t.sim.Now().Sub(g.begin).Seconds())
	}
	t.ready = append(t.ready, g)
	t.pull()
	t.refill()
}

// pull starts the next step when enough groups within the staleness bound are ready.
func (t *trainer) pull() {
	if t.training {
		return
	}
	var fresh []*group
	for _, g := range t.ready {
		if t.version-g.oldest() > maxStaleness {
			t.waste(g.tokens())
			continue
		}
		fresh = append(fresh, g)
	}
	t.ready = fresh
	if len(t.ready) < t.lot {
		return
	}
	t.consume(t.ready[:t.lot])
	t.ready = t.ready[t.lot:]
	t.training = true
	t.addIdle()
	t.sim.After(trainTime, func() {
		t.version++
		t.training = false
		t.idleSince = t.sim.Now()
		t.pull()
		t.refill()
	})
}

func (t *trainer) consume(lot []*group) {
	if !t.counts() {
		return
	}
	for _, g := range lot {
		for _, m := range g.samples {
			t.run.ages = append(t.run.ages, float64(t.version-m.version))
		}
	}
}

// addIdle counts the wait that ends now, without its part in the warm-up.
func (t *trainer) addIdle() {
	since := t.idleSince
	if warm := epoch.Add(groupsWarmUp); since.Before(warm) {
		since = warm
	}
	t.run.idle += max(0, t.sim.Now().Sub(since))
}

func (t *trainer) waste(tokens int) {
	if t.counts() {
		t.run.wasted += float64(tokens)
	}
}

// hedge duplicates the last missing sample of a group when it is slow.
func (t *trainer) hedge() {
	for _, g := range t.open {
		m := g.lastMissing()
		if m == nil || m.running == 0 {
			continue
		}
		facts := retry.Straggler{
			Idempotent: true, Missing: g.missing, Copies: m.running + m.queued, Running: t.sim.Now().Sub(m.sent),
			DeadlineLeft: time.Hour,
		}
		if ok, _ := retry.DefaultHedgeConfig().Hedge(facts, &t.latencies, t.budget, t.sim.Now()); ok {
			m.offer()
		}
	}
}

// item describes a sample to the queue.
func (t *trainer) item(id string, completes bool) admission.Item {
	return admission.Item{
		ID: id, Workspace: t.name, Weight: 1, Cost: int64(t.user.MeanResponseTokens), CompletesGroup: completes,
	}
}
