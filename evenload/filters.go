package evenload

import "github.com/radishshelf/radishshelf/routing"

// LimitsFilter is the name of the filter that removes upstreams because of their limits.
const LimitsFilter = "limits"

// filters returns the filters in the order in which they run.
func filters() []routing.Filter[Request, Option] {
	return []routing.Filter[Request, Option]{triedFilter{}, limitsFilter{}}
}

// triedFilter removes upstreams that may have begun to run the request, or refused it.
type triedFilter struct{}

func (triedFilter) Name() string { return "tried" }

func (triedFilter) Keep(req *Request, o *Option) bool { return !o.Tried || req.AllowTried }

// limitsFilter removes upstreams without room, and limited ones for which other requests wait.
type limitsFilter struct{}

func (limitsFilter) Name() string { return LimitsFilter }

func (limitsFilter) Keep(req *Request, o *Option) bool { return !o.Full && !(req.Yields && o.Limited) }
