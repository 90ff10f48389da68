package routing

// ServesFilter removes upstreams that serve another policy or service.
type ServesFilter struct{}

// Name implements Filter.
func (ServesFilter) Name() string { return "serves" }

// Keep implements Filter.
func (ServesFilter) Keep(req *Request, c *Candidate) bool { return c.Serves == req.Serves }
