package measure

// Pool is a few engines behind one queue, which knows their load exactly.
type Pool struct {
	sim     *Sim
	cfg     EngineConfig
	engines []*Engine
}

// NewPool returns idle engines.
func NewPool(s *Sim, engines []*Engine, cfg EngineConfig) *Pool {
	return &Pool{sim: s, cfg: cfg, engines: engines}
}

// Capacity is the generation rate of all engines in tokens per second.
func (p *Pool) Capacity() float64 { return p.cfg.Capacity() * float64(len(p.engines)) }

// Slots is the number of requests that run at once.
func (p *Pool) Slots() int { return p.cfg.Slots * len(p.engines) }

// Submit runs a job on the engine with the fewest outstanding jobs and returns the engine.
func (p *Pool) Submit(j *Job) *Engine {
	best := p.engines[0]
	for _, e := range p.engines {
		if e.Outstanding() < best.Outstanding() {
			best = e
		}
	}
	best.Submit(j)
	return best
}
