package measure

import (
	"slices"
	"time"
)

// EngineConfig holds the parameters of the engine model.
type EngineConfig struct {
	Slots int
	// StepBase plus StepPerRequest for each decoding request is the duration of one decoding step, which generates one
	// token for each of them.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// PrefillTokensPerSecond is the prefill rate; prompts are processed one at a time.
	PrefillTokensPerSecond float64
	CacheBlocks            int
	BlockTokens            int
}

// DefaultEngineConfig returns an engine with 32 slots that generates up to 889 tokens per second.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Slots:                  32,
		StepBase:               20 * time.Millisecond,
		StepPerRequest:         500 * time.Microsecond,
		PrefillTokensPerSecond: 16_000,
		CacheBlocks:            2_000,
		BlockTokens:            64,
	}
}

// Capacity returns the generation rate with all slots in use, in tokens per second.
func (c EngineConfig) Capacity() float64 { return float64(c.Slots) / c.stepTime(c.Slots).Seconds() }

func (c EngineConfig) stepTime(running int) time.Duration {
	return c.StepBase + time.Duration(running)*c.StepPerRequest
}

// Engine models continuous batching: a FIFO queue, sequential prefill, and decoding steps shared by all decoding jobs.
type Engine struct {
	Name    string
	Region  int
	Version int64
	// Incarnation is incremented by each crash.
	Incarnation int
	Down        bool

	sim     *Sim
	cfg     EngineConfig
	cache   *prefixCache
	queue   []*Job
	running []*Job
	// steps is the number of decoding steps up to the time stepsAt.
	steps   float64
	stepsAt time.Time
	// wakeSeq identifies the latest scheduled wake-up.
	wakeSeq int
	// prefillFreeAt is when the prefill of all started jobs ends.
	prefillFreeAt time.Time
	// addedBlocks and removedBlocks are the changes of the cache since the last report.
	addedBlocks   []uint64
	removedBlocks []uint64
}

// NewEngine returns an idle engine.
func NewEngine(sim *Sim, name string, region int, cfg EngineConfig) *Engine {
	return &Engine{
		Name: name, Region: region, Version: 1, sim: sim, cfg: cfg,
		cache: newPrefixCache(cfg.CacheBlocks), stepsAt: sim.Now(), prefillFreeAt: sim.Now(),
	}
}

// Submit queues a job.
func (e *Engine) Submit(j *Job) {
	e.queue = append(e.queue, j)
	e.startQueued()
}

// Outstanding returns the number of queued and running jobs.
func (e *Engine) Outstanding() int { return len(e.queue) + len(e.running) }

// PendingTokens returns the sum of the estimated response lengths of all outstanding jobs.
func (e *Engine) PendingTokens() int64 {
	sum := int64(0)
	for _, j := range e.queue {
		sum += j.EstimatedTokens
	}
	for _, j := range e.running {
		sum += j.EstimatedTokens
	}
	return sum
}

// Rate returns the current generation rate in tokens per second.
func (e *Engine) Rate() float64 {
	return float64(len(e.running)) / e.cfg.stepTime(len(e.running)).Seconds()
}

// Reserved reports whether an exclusive job runs on the engine.
func (e *Engine) Reserved() bool {
	return slices.ContainsFunc(e.running, func(j *Job) bool { return j.Exclusive })
}

// Cancel ends a job without calling Done and returns the number of tokens that it had generated.
func (e *Engine) Cancel(j *Job) int {
	if j.ended {
		return 0
	}
	j.ended = true
	e.advance()
	same := func(o *Job) bool { return o == j }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.running = slices.DeleteFunc(e.running, same)
	e.startQueued()
	if !j.decoding {
		return 0
	}
	return int(e.steps - j.decodeStart)
}

// Crash removes and returns all outstanding jobs, without calling Done, and empties the cache. The engine is down for
// the duration of restart.
func (e *Engine) Crash(restart time.Duration) []*Job {
	lost := append(e.running, e.queue...)
	e.running, e.queue = nil, nil
	e.Incarnation++
	e.Down = true
	e.cache = newPrefixCache(e.cfg.CacheBlocks)
	e.addedBlocks, e.removedBlocks = nil, nil
	e.sim.After(restart, func() {
		e.Down = false
		e.stepsAt = e.sim.Now()
		e.prefillFreeAt = e.sim.Now()
		e.startQueued()
	})
	for _, j := range lost {
		j.ended = true
	}
	return lost
}

// advance updates the step counter to the current time.
func (e *Engine) advance() {
	elapsed := e.sim.Now().Sub(e.stepsAt)
	e.stepsAt = e.sim.Now()
	decoding := e.decodingJobs()
	if decoding > 0 {
		e.steps += elapsed.Seconds() / e.cfg.stepTime(decoding).Seconds()
	}
}

func (e *Engine) decodingJobs() int {
	n := 0
	for _, j := range e.running {
		if j.decoding {
			n++
		}
	}
	return n
}

// startQueued starts queued jobs in free slots and schedules the next completion.
func (e *Engine) startQueued() {
	e.advance()
	for !e.Down && len(e.queue) > 0 && len(e.running) < e.cfg.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.start(j)
	}
	e.scheduleCompletion()
}

// start moves a job into a slot and schedules the end of its prefill.
func (e *Engine) start(j *Job) {
	j.started = e.sim.Now()
	cached := e.cache.cachedPrefix(j.Prompt) * e.cfg.BlockTokens
	added, evicted := e.cache.insert(j.Prompt)
	e.addedBlocks = append(e.addedBlocks, added...)
	e.removedBlocks = append(e.removedBlocks, evicted...)
	e.running = append(e.running, j)
	begin := e.prefillFreeAt
	if begin.Before(e.sim.Now()) {
		begin = e.sim.Now()
	}
	e.prefillFreeAt = begin.Add(seconds(float64(max(0, j.PromptTokens-cached)) / e.cfg.PrefillTokensPerSecond))
	version := e.Version
	done := j.Done
	j.Done = func(f Result) {
		f.CachedTokens, f.Version = cached, version
		done(f)
	}
	e.sim.After(e.prefillFreeAt.Add(j.StartDelay).Sub(e.sim.Now()), func() { e.startDecoding(j) })
}

func (e *Engine) startDecoding(j *Job) {
	if j.ended {
		return
	}
	e.advance()
	j.decoding = true
	j.decodeStart = e.steps
	j.decodeEnd = e.steps + float64(j.ResponseTokens)
	e.scheduleCompletion()
}

// scheduleCompletion schedules a wake-up for the next completed response; earlier scheduled wake-ups are ignored.
func (e *Engine) scheduleCompletion() {
	e.wakeSeq++
	seq := e.wakeSeq
	var next *Job
	for _, j := range e.running {
		if j.decoding && (next == nil || j.decodeEnd < next.decodeEnd) {
			next = j
		}
	}
	if next == nil {
		return
	}
	left := max(0, next.decodeEnd-e.steps) * e.cfg.stepTime(e.decodingJobs()).Seconds()
	// The added nanosecond compensates for rounding, so that the step counter has reached the end of the response.
	e.sim.After(seconds(left)+time.Nanosecond, func() {
		if seq == e.wakeSeq {
			e.complete()
		}
	})
}

// complete ends all jobs whose last token has been generated.
func (e *Engine) complete() {
	e.advance()
	var ended []*Job
	e.running = slices.DeleteFunc(e.running, func(j *Job) bool {
		if !j.decoding || j.decodeEnd > e.steps+1e-6 {
			return false
		}
		j.ended = true
		ended = append(ended, j)
		return true
	})
	e.startQueued()
	for _, j := range ended {
		j.Done(Result{})
	}
}
