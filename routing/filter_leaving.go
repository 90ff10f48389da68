package routing

// LeavingFilter removes upstreams that are draining: they finish their work and accept no new requests.
type LeavingFilter struct{}

// Name implements Filter.
func (LeavingFilter) Name() string { return "leaving" }

// Keep implements Filter.
func (LeavingFilter) Keep(_ *Request, c *Candidate) bool { return !c.Leaving }
