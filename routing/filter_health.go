package routing

// HealthFilter removes upstreams whose agent reports a failed health probe.
type HealthFilter struct{}

// Name implements Filter.
func (HealthFilter) Name() string { return "health" }

// Keep implements Filter.
func (HealthFilter) Keep(_ *Request, c *Candidate) bool { return c.Healthy }
