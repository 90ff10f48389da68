package routing

// ExclusiveFilter isolates crash suspects from other requests: a suspect runs only on an idle upstream, and an upstream
// that runs a suspect accepts no other request.
type ExclusiveFilter struct {
	InFlight *InFlight
}

// Name implements Filter.
func (ExclusiveFilter) Name() string { return "exclusive" }

// Keep implements Filter.
func (f ExclusiveFilter) Keep(req *Request, c *Candidate) bool {
	if c.Reserved {
		return false
	}
	if !req.Exclusive {
		return true
	}
	return c.Running == 0 && c.Queued == 0 && f.InFlight.Count(c.Name) == 0
}
