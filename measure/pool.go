package measure

// Pool is a set of engines whose exact load is known when a request is dispatched.
type Pool struct {
	sim     *Sim
	cfg     EngineConfig
	engines []*Engine
}

// NewPool returns a pool of the given engines.
func NewPool(s *Sim, engines []*Engine, cfg EngineConfig) *Pool {
	return &Pool{sim: s, cfg: cfg, engines: engines}
}

// Capacity returns the maximum generation rate of all engines in tokens per second.
func (p *Pool) Capacity() float64 { return p.cfg.Capacity() * float64(len(p.engines)) }

// Slots returns the number of requests that can run at once.
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
