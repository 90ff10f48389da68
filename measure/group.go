package measure

import (
	"fmt"
	"time"
)

// group is one rollout group of a trainer; missing counts its incomplete samples.
type group struct {
	trainer *trainer
	id      string
	begin   time.Time
	samples []*sample
	missing int
}

// oldestVersion returns the lowest weight version of the samples of a complete group.
func (g *group) oldestVersion() int64 {
	lowest := g.samples[0].version
	for _, m := range g.samples {
		lowest = min(lowest, m.version)
	}
	return lowest
}

func (g *group) tokens() int {
	sum := 0
	for _, m := range g.samples {
		sum += m.request.ResponseTokens
	}
	return sum
}

// lastMissing returns the incomplete sample if there is exactly one, and nil otherwise.
func (g *group) lastMissing() *sample {
	if g.missing != 1 {
		return nil
	}
	for _, m := range g.samples {
		if !m.done {
			return m
		}
	}
	return nil
}

// hasOtherQueued reports whether a sample other than m has a queued attempt.
func (g *group) hasOtherQueued(m *sample) bool {
	for _, o := range g.samples {
		if o != m && o.queued > 0 {
			return true
		}
	}
	return false
}

// sample is one response of a group. Hedging starts a second attempt.
type sample struct {
	group   *group
	index   int
	request Request
	version int64
	done    bool
	// attempts counts all attempts so far; queued and running count the current ones.
	attempts int
	queued   int
	running  int
	// startedAt is when the first of the running attempts started.
	startedAt time.Time
	// cancels holds the functions that cancel the queued and running attempts, by attempt id.
	cancels map[string]func()
}

// enqueue queues one attempt. Under the policy, a repeated attempt precedes other requests of the trainer if no other
// sample of the group is queued.
func (m *sample) enqueue() {
	t := m.group.trainer
	m.attempts++
	id := fmt.Sprintf("%s/%d#%d", m.group.id, m.index, m.attempts)
	if m.cancels == nil {
		m.cancels = make(map[string]func())
	}
	m.queued++
	m.cancels[id] = func() {
		m.queued--
		t.queue.remove(id)
	}
	completes := t.policy && m.attempts > 1 && !m.group.hasOtherQueued(m)
	t.queue.offer(queuedRequest{
		item:   t.admissionItem(id, completes),
		run:    func() { m.start(id) },
		refuse: func(after time.Duration) { m.retryLater(id, after) },
	})
}

// retryLater queues another attempt after the retry delay, unless one has completed or is queued or running by then.
func (m *sample) retryLater(id string, retryAfter time.Duration) {
	m.queued--
	delete(m.cancels, id)
	m.group.trainer.sim.After(retryAfter, func() {
		if !m.done && m.queued+m.running == 0 {
			m.enqueue()
		}
	})
}

// start generates one attempt. All attempts of a sample have the same length; with independent lengths, hedging would
// favour short responses.
func (m *sample) start(id string) {
	t := m.group.trainer
	m.queued--
	if m.running == 0 {
		m.startedAt = t.sim.Now()
	}
	m.running++
	begin, version := t.sim.Now(), t.version
	job := &Job{
		ID: id, Prompt: m.request.Blocks, PromptTokens: m.request.PromptTokens, ResponseTokens: m.request.ResponseTokens,
		EstimatedTokens: int64(t.user.MeanResponseTokens),
	}
	if t.sim.Rand.Float64() < stallShare {
		job.StartDelay = stallTime
	}
	job.Done = func(Result) {
		m.running--
		delete(m.cancels, id)
		t.latencies.Observe(t.sim.Now().Sub(begin))
		t.addGenerated(m.request.ResponseTokens)
		t.queue.done(id, int64(m.request.ResponseTokens))
		m.attemptCompleted(version)
	}
	engine := t.pool.Submit(job)
	m.cancels[id] = func() {
		m.running--
		tokens := engine.Cancel(job)
		t.addGenerated(tokens)
		t.addWasted(tokens)
		t.queue.done(id, int64(tokens))
	}
}

// attemptCompleted accepts the first attempt that completes and is not discarded, and cancels the others.
func (m *sample) attemptCompleted(version int64) {
	t := m.group.trainer
	if m.done {
		return
	}
	if t.sim.Rand.Float64() < discardShare {
		t.addWasted(m.request.ResponseTokens)
		if m.running+m.queued == 0 {
			m.enqueue()
		}
		return
	}
	m.done, m.version = true, version
	cancels := m.cancels
	m.cancels = nil
	for _, cancel := range cancels {
		cancel()
	}
	m.group.missing--
	if m.group.missing == 0 {
		t.groupCompleted(m.group)
	}
}

// addGenerated adds generated tokens after the warm-up.
func (t *trainer) addGenerated(tokens int) {
	if t.warmedUp() {
		t.run.generatedTokens += float64(tokens)
	}
}
