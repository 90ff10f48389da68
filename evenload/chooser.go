package evenload

import (
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/routing"
)

// Chooser picks the upstream of a request.
type Chooser struct {
	pipeline routing.Pipeline[Request, Option]
}

// NewChooser returns a chooser. draw returns a random number from 0 to 1, which decides between equal upstreams.
func NewChooser(draw func() float64) *Chooser {
	return &Chooser{pipeline: routing.Pipeline[Request, Option]{Filters: filters(), Scorers: scorers(draw)}}
}

// minSlots is the least that an upstream counts as. It ranks one whose share of slots has not come back yet behind all
// others.
const minSlots = 0.01

// compare returns the request with the mean utilization of the options, and turns the numbers of recent requests in their
// shares into multiples of the mean.
func compare(req Request, options []Option) Request {
	recent, load, slots := 0.0, 0.0, 0.0
	for i := range options {
		o := &options[i]
		o.Slots = max(o.Slots, minSlots)
		recent += o.Share
		load += float64(o.Own) + o.Peers
		slots += o.Slots
	}
	if slots > 0 {
		req.Utilization = load / slots
	}
	for i := range options {
		if recent > 0 {
			options[i].Share *= slots / options[i].Slots / recent
		}
	}
	return req
}

// Choose returns the option with the lowest cost, nil if the filters leave none. limited reports whether options were left
// out because of their limits.
func (c *Chooser) Choose(req Request, options []Option, now time.Time) (best *Option, limited bool) {
	req = compare(req, options)
	kept, removed := c.pipeline.Keep(&req, options)
	limited = slices.ContainsFunc(removed, func(r routing.RemovedCount) bool { return r.Filter == LimitsFilter })
	return c.pipeline.Cheapest(&req, kept, now), limited
}

// Explain returns the costs of an option.
func (c *Chooser) Explain(req Request, o Option, now time.Time) routing.Scored[Option] {
	return c.pipeline.Score(&req, &o, now)
}
