package routing

import "slices"

// ExcludedFilter removes upstreams on which this request has already failed.
type ExcludedFilter struct{}

// Name implements Filter.
func (ExcludedFilter) Name() string { return "excluded" }

// Keep implements Filter.
func (ExcludedFilter) Keep(req *Request, c *Candidate) bool {
	return !slices.Contains(req.Excluded, c.Name)
}
