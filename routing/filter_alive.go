package routing

// AliveFilter removes upstreams whose heartbeats have stopped.
type AliveFilter struct{}

// Name implements Filter.
func (AliveFilter) Name() string { return "alive" }

// Keep implements Filter.
func (AliveFilter) Keep(_ *Request, c *Candidate) bool { return c.Alive }
