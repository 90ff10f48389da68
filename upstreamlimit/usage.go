package upstreamlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/upstreams"
)

// Usage is how a host used its share of a limit since the last call of Usage.
type Usage struct {
	Upstream upstreams.Incarnation
	Service  string
	// Limit and Share are requests a second of all hosts and of this host.
	Limit, Share float64
	// Cold is set if the limit is the bound of a cold upstream.
	Cold bool
	Sent int
}

// Usage returns the use of each limit in force, ordered by upstream, and starts to count anew.
func (t *Table) Usage(now time.Time) []Usage {
	var list []Usage
	t.divide(now)
	for i, l := range t.limits {
		if l.bound.inForce {
			list = append(list, Usage{Upstream: i, Service: l.service, Limit: l.bound.perSecond, Cold: l.bound.cold, Share: l.share, Sent: l.sent})
		}
		l.sent = 0
	}
	slices.SortFunc(list, func(a, b Usage) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return list
}
