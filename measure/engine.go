package measure

import (
	"slices"
	"time"
)

// EngineConfig describes the model of an engine.
type EngineConfig struct {
	Slots int
	// StepBase and StepPerRequest are the time of one decoding step, which gives every running request one token.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// PrefillTokensPerSecond is the speed of the one prefill lane.
	PrefillTokensPerSecond float64
	CacheBlocks            int
	BlockTokens            int
}

// DefaultEngineConfig generates up to 889 tokens per second in 32 slots.
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

// Capacity is the generation rate with all slots in use, in tokens per second.
func (c EngineConfig) Capacity() float64 { return float64(c.Slots) / c.step(c.Slots).Seconds() }

func (c EngineConfig) step(running int) time.Duration {
	return c.StepBase + time.Duration(running)*c.StepPerRequest
}

// Engine models continuous batching: a FIFO queue, one prefill lane, and decoding steps shared by all running jobs.
type Engine struct {
	Name    string
	Region  int
	Version int64
	// Incarnation grows with each crash.
	Incarnation int
	Down        bool

	sim     *Sim
	cfg     EngineConfig
	cache   *prefixCache
	queue   []*Job
	running []*Job
	// counter is the number of decoding steps so far, as of counted.
	counter     float64
	counted     time.Time
	wake        int
	prefillFree time.Time
	// added and removed are the cache events since the last report.
	added   []uint64
	removed []uint64
}

// NewEngine returns an idle engine.
func NewEngine(sim *Sim, name string, region int, cfg EngineConfig) *Engine {
	return &Engine{
		Name: name, Region: region, Version: 1, sim: sim, cfg: cfg,
		cache: newPrefixCache(cfg.CacheBlocks), counted: sim.Now(), prefillFree: sim.Now(),
	}
}

// Submit queues a job.
func (e *Engine) Submit(j *Job) {
	e.queue = append(e.queue, j)
	e.fill()
}

// Outstanding is the number of queued and running jobs.
func (e *Engine) Outstanding() int { return len(e.queue) + len(e.running) }

// PendingTokens estimates the work of all outstanding jobs.
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

// Rate is the current generation rate in tokens per second.
func (e *Engine) Rate() float64 {
	return float64(len(e.running)) / e.cfg.step(len(e.running)).Seconds()
}

// Reserved reports that an exclusive job holds the engine.
func (e *Engine) Reserved() bool {
	return slices.ContainsFunc(e.running, func(j *Job) bool { return j.Exclusive })
}

// Cancel ends a job without a result and returns the tokens that it had generated.
func (e *Engine) Cancel(j *Job) int {
	if j.gone {
		return 0
	}
	j.gone = true
	e.advance()
	same := func(o *Job) bool { return o == j }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.running = slices.DeleteFunc(e.running, same)
	e.fill()
	if !j.decodes {
		return 0
	}
	return int(e.counter - j.begin)
}

// Crash fails all jobs and loses the cache; the engine returns after a while.
func (e *Engine) Crash(restart time.Duration) []*Job {
	lost := append(e.running, e.queue...)
	e.running, e.queue = nil, nil
	e.Incarnation++
	e.Down = true
	e.cache = newPrefixCache(e.cfg.CacheBlocks)
	e.added, e.removed = nil, nil
	e.sim.After(restart, func() {
		e.Down = false
		e.counted = e.sim.Now()
		e.prefillFree = e.sim.Now()
		e.fill()
	})
	for _, j := range lost {
		j.gone = true
	}
	return lost
}

// advance brings the step counter up to now.
func (e *Engine) advance() {
	elapsed := e.sim.Now().Sub(e.counted)
	e.counted = e.sim.Now()
	decoding := e.decoding()
	if decoding > 0 {
		e.counter += elapsed.Seconds() / e.cfg.step(decoding).Seconds()
	}
}

func (e *Engine) decoding() int {
	n := 0
	for _, j := range e.running {
		if j.decodes {
			n++
		}
	}
	return n
}

// fill starts queued jobs in free slots and schedules the next end of an answer.
func (e *Engine) fill() {
	e.advance()
	for !e.Down && len(e.queue) > 0 && len(e.running) < e.cfg.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.start(j)
	}
	e.schedule()
}

// start runs the prefill of a job.
func (e *Engine) start(j *Job) {
	j.started = e.sim.Now()
	cached := e.cache.leading(j.Prompt) * e.cfg.BlockTokens
	added, evicted := e.cache.insert(j.Prompt)
	e.added = append(e.added, added...)
	e.removed = append(e.removed, evicted...)
	e.running = append(e.running, j)
	begin := e.prefillFree
	if begin.Before(e.sim.Now()) {
		begin = e.sim.Now()
	}
	e.prefillFree = begin.Add(seconds(float64(max(0, j.PromptTokens-cached)) / e.cfg.PrefillTokensPerSecond))
	version := e.Version
	done := j.Done
	j.Done = func(f Result) {
		f.CachedTokens, f.Version = cached, version
		done(f)
	}
	e.sim.After(e.prefillFree.Add(j.StartDelay).Sub(e.sim.Now()), func() { e.decode(j) })
}

func (e *Engine) decode(j *Job) {
	if j.gone {
		return
	}
	e.advance()
	j.decodes = true
	j.begin = e.counter
	j.finish = e.counter + float64(j.ResponseTokens)
	e.schedule()
}

// schedule wakes the engine when the next answer is complete; an older wake-up is ignored.
func (e *Engine) schedule() {
	e.wake++
	wake := e.wake
	var next *Job
	for _, j := range e.running {
		if j.decodes && (next == nil || j.finish < next.finish) {
			next = j
		}
	}
	if next == nil {
		return
	}
	left := max(0, next.finish-e.counter) * e.cfg.step(e.decoding()).Seconds()
	// The rounding up by a nanosecond makes sure that the counter has passed the end.
	e.sim.After(seconds(left)+time.Nanosecond, func() {
		if wake == e.wake {
			e.complete()
		}
	})
}

// complete ends all jobs whose last token is generated.
func (e *Engine) complete() {
	e.advance()
	var ended []*Job
	e.running = slices.DeleteFunc(e.running, func(j *Job) bool {
		if !j.decodes || j.finish > e.counter+1e-6 {
			return false
		}
		j.gone = true
		ended = append(ended, j)
		return true
	})
	e.fill()
	for _, j := range ended {
		j.Done(Result{})
	}
}
