package routing

// VersionFilter removes upstreams whose active weights are older than the request accepts.
type VersionFilter struct{}

// Name implements Filter.
func (VersionFilter) Name() string { return "version" }

// Keep implements Filter.
func (VersionFilter) Keep(req *Request, c *Candidate) bool { return c.Version >= req.MinVersion }
