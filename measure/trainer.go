package measure

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/admission"
	"github.com/radishshelf/radishshelf/retry"
)

// hedgeInterval is the interval at which running samples are checked for stragglers.
const hedgeInterval = time.Second

// trainer keeps a number of groups in progress, pulls lots of complete groups and publishes a version after each
// training step.
type trainer struct {
	sim       *Sim
	user      User
	pool      *Pool
	queue     *fairQueue
	run       *groupsRun
	generator *RequestGenerator
	name      string
	lotGroups int
	policy    bool

	version   int64
	training  bool
	idleSince time.Time
	lastID    int
	open      []*group
	ready     []*group
	latencies retry.Latencies
	budget    *retry.Budget
}

func newTrainer(s *Sim, u User, pool *Pool, queue *fairQueue, run *groupsRun, index, lotGroups int, policy bool) *trainer {
	return &trainer{
		sim: s, user: u, pool: pool, queue: queue, run: run, generator: NewRequestGenerator(s, u, pool.cfg),
		name: fmt.Sprint("trainer-", index), lotGroups: lotGroups, policy: policy, idleSince: s.Now(),
		budget: retry.NewBudget(retry.DefaultBudgetConfig(), s.Now()),
	}
}

// warmedUp reports whether the warm-up is over, after which results are recorded.
func (t *trainer) warmedUp() bool { return t.sim.Elapsed() >= groupsWarmUp }

// refill starts new groups up to the limits.
func (t *trainer) refill() {
	for len(t.open) < maxOpenGroups && len(t.open)+len(t.ready) < t.lotGroups {
		t.lastID++
		g := &group{trainer: t, id: fmt.Sprintf("%s/%d", t.name, t.lastID), begin: t.sim.Now(), missing: groupSize}
		t.open = append(t.open, g)
		for i := range groupSize {
			request := t.generator.Next()
			if i > 0 {
				// All samples of a group have the same prompt.
				request.Blocks = g.samples[0].request.Blocks
			}
			g.samples = append(g.samples, &sample{group: g, index: i, request: request})
		}
		for _, m := range g.samples {
			t.budget.AddFirstAttempt(t.sim.Now())
			m.enqueue()
		}
	}
}

// groupCompleted moves a complete group to the ready groups.
func (t *trainer) groupCompleted(g *group) {
	for i, o := range t.open {
		if o == g {
			t.open = append(t.open[:i], t.open[i+1:]...)
			break
		}
	}
	if t.warmedUp() {
		t.run.completionSeconds = append(t.run.completionSeconds, t.sim.Now().Sub(g.begin).Seconds())
	}
	t.ready = append(t.ready, g)
	t.pull()
	t.refill()
}

// pull starts the next training step if enough groups within the staleness bound are ready; it drops stale groups.
func (t *trainer) pull() {
	if t.training {
		return
	}
	var fresh []*group
	for _, g := range t.ready {
		if t.version-g.oldestVersion() > maxStaleness {
			t.addWasted(g.tokens())
			continue
		}
		fresh = append(fresh, g)
	}
	t.ready = fresh
	if len(t.ready) < t.lotGroups {
		return
	}
	t.recordStaleness(t.ready[:t.lotGroups])
	t.ready = t.ready[t.lotGroups:]
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

func (t *trainer) recordStaleness(lot []*group) {
	if !t.warmedUp() {
		return
	}
	for _, g := range lot {
		for _, m := range g.samples {
			t.run.staleness = append(t.run.staleness, float64(t.version-m.version))
		}
	}
}

// addIdle adds the idle time that ends now, without its part in the warm-up.
func (t *trainer) addIdle() {
	since := t.idleSince
	if warmUpEnd := epoch.Add(groupsWarmUp); since.Before(warmUpEnd) {
		since = warmUpEnd
	}
	t.run.idle += max(0, t.sim.Now().Sub(since))
}

func (t *trainer) addWasted(tokens int) {
	if t.warmedUp() {
		t.run.wastedTokens += float64(tokens)
	}
}

// hedge starts a second attempt for the last missing sample of each group if it is a straggler.
func (t *trainer) hedge() {
	for _, g := range t.open {
		m := g.lastMissing()
		if m == nil || m.running == 0 {
			continue
		}
		straggler := retry.Straggler{
			Idempotent: true, Missing: g.missing, Copies: m.running + m.queued, Running: t.sim.Now().Sub(m.startedAt),
			DeadlineLeft: time.Hour,
		}
		if ok, _ := retry.DefaultHedgeConfig().Hedge(straggler, &t.latencies, t.budget, t.sim.Now()); ok {
			m.enqueue()
		}
	}
}

// admissionItem returns the queue item of an attempt; completes says that it completes its group.
func (t *trainer) admissionItem(id string, completes bool) admission.Item {
	item := admission.Item{
		ID: id, Workspace: t.name, Weight: 1, Cost: int64(t.user.MeanResponseTokens),
	}
	if completes {
		item.Rank = admission.CompletesGroup
	}
	return item
}
