package ordermanager

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/ordering"
	"github.com/radishshelf/radishshelf/telemetry"
)

// cost counts the seconds of ordered upstreams while this process holds the role. The sum over all entries divided by
// the tokens that the agents count is the upstream cost of the service.
type cost struct {
	registry *telemetry.Registry
	// last is the time up to which the seconds are counted; zero while the role is not held.
	last time.Time
}

// add counts the time since the last call.
func (c *cost) add(signals []ordering.Signal, ordered func(ordering.Signal) int, now time.Time) {
	last := c.last
	c.last = now
	if last.IsZero() {
		return
	}
	elapsed := now.Sub(last).Seconds()
	for _, s := range signals {
		name := fmt.Sprintf("radishshelf_orders_upstream_seconds_total{pool=%q}", s.Pool.String())
		c.registry.GetOrCreateFloatCounter(name).Add(float64(ordered(s)) * elapsed)
	}
}

// stop ends the count when the role is lost; the next holder counts from its first round.
func (c *cost) stop() { c.last = time.Time{} }
