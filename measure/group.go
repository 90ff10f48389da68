package measure

import (
	"fmt"
	"time"
)

// group is one rollout group of a trainer.
type group struct {
	trainer *trainer
	id      string
	begin   time.Time
	samples []*sample
	missing int
}

// oldestVersion is the lowest version of a whole group.
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

// lastMissing returns the only incomplete sample, nil when there are several.
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

// hasOtherQueued reports that a sample other than m is still queued.
func (g *group) hasOtherQueued(m *sample) bool {
	for _, o := range g.samples {
		if o != m && o.queued > 0 {
			return true
		}
	}
	return false
}

// sample is one answer of a group; a hedge gives it two attempts.
type sample struct {
	group    *group
	index    int
	request  Request
	version  int64
	done     bool
	attempts int
	queued   int
	running  int
	// startedAt is when the first of the current attempts started.
	startedAt time.Time
	// cancels end the attempts that are still queued or running.
	cancels map[string]func()
}

// enqueue queues one attempt. Under the policy an attempt after the first, or the last one of its group that has not
// started, goes before other work of the trainer.
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

// retryLater tries again after the advised time.
func (m *sample) retryLater(id string, retryAfter time.Duration) {
	m.queued--
	delete(m.cancels, id)
	m.group.trainer.sim.After(retryAfter, func() {
		if !m.done && m.queued+m.running == 0 {
			m.enqueue()
		}
	})
}

// start generates one attempt. All attempts have the same length: with another draw, hedging would prefer short answers.
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

// attemptCompleted takes the first complete attempt and ends the others.
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
