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

// oldest is the lowest version of a whole group.
func (g *group) oldest() int64 {
	lowest := g.samples[0].version
	for _, m := range g.samples {
		lowest = min(lowest, m.version)
	}
	return lowest
}

func (g *group) tokens() int {
	sum := 0
	for _, m := range g.samples {
		sum += m.prompt.ResponseTokens
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

// waits reports that a sample other than m is still queued.
func (g *group) waits(m *sample) bool {
	for _, o := range g.samples {
		if o != m && o.queued > 0 {
			return true
		}
	}
	return false
}

// sample is one answer of a group; a hedge gives it two attempts.
type sample struct {
	group   *group
	index   int
	prompt  Request
	version int64
	done    bool
	tries   int
	queued  int
	running int
	// sent is when the first of the current attempts started.
	sent time.Time
	// cancels end the attempts that are still queued or running.
	cancels map[string]func()
}

// offer queues one attempt. Under the policy an attempt after the first, or the last one of its group that has not
// started, goes before other work of the trainer.
func (m *sample) offer() {
	t := m.group.trainer
	m.tries++
	id := fmt.Sprintf("%s/%d#%d", m.group.id, m.index, m.tries)
	if m.cancels == nil {
		m.cancels = make(map[string]func())
	}
	m.queued++
	m.cancels[id] = func() {
		m.queued--
		t.gate.leave(id)
	}
	completes := t.policy && m.tries > 1 && !m.group.waits(m)
	t.gate.offer(waiting{
		item:   t.item(id, completes),
		run:    func() { m.start(id) },
		refuse: func(after time.Duration) { m.refused(id, after) },
	})
}

// refused tries again after the advised time.
func (m *sample) refused(id string, after time.Duration) {
	m.queued--
	delete(m.cancels, id)
	m.group.trainer.sim.After(after, func() {
		if !m.done && m.queued+m.running == 0 {
			m.offer()
		}
	})
}

// start generates one attempt. All attempts have the same length: with another draw, hedging would prefer short answers.
func (m *sample) start(id string) {
	t := m.group.trainer
	m.queued--
	if m.running == 0 {
		m.sent = t.sim.Now()
	}
	m.running++
	begin, version := t.sim.Now(), t.version
	job := &Job{
		ID: id, Prompt: m.prompt.Blocks, PromptTokens: m.prompt.PromptTokens, ResponseTokens: m.prompt.ResponseTokens,
		EstimatedTokens: int64(t.user.MeanResponseTokens),
	}
	if t.sim.Rand.Float64() < stallShare {
		job.StartDelay = stallTime
	}
	job.Done = func(Result) {
		m.running--
		delete(m.cancels, id)
		t.latencies.Observe(t.sim.Now().Sub(begin))
		t.count(m.prompt.ResponseTokens)
		t.gate.done(id, int64(m.prompt.ResponseTokens))
		m.finished(version)
	}
	engine := t.pool.Submit(job)
	m.cancels[id] = func() {
		m.running--
		tokens := engine.Cancel(job)
		t.count(tokens)
		t.waste(tokens)
		t.gate.done(id, int64(tokens))
	}
}

// finished takes the first complete attempt and ends the others.
func (m *sample) finished(version int64) {
	t := m.group.trainer
	if m.done {
		return
	}
	if t.sim.Rand.Float64() < discardShare {
		t.waste(m.prompt.ResponseTokens)
		if m.running+m.queued == 0 {
			m.offer()
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
		t.completed(m.group)
	}
}

// count adds generated tokens after the warm-up.
func (t *trainer) count(tokens int) {
	if t.counts() {
		t.run.generated += float64(tokens)
	}
}
