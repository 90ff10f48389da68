package ordermanager

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/ordering"
	"github.com/radishshelf/radishshelf/telemetry"
)

// costMeter counts upstream-seconds, the ordered upstreams multiplied by time, while this process holds the role. The
// sum over all entries divided by the tokens that the agents count is the upstream cost per token of the service.
type costMeter struct {
	registry *telemetry.Registry
	// countedUntil is the time up to which upstream-seconds have been counted, or zero while the role is not held.
	countedUntil time.Time
}

// add counts the upstream-seconds since the previous call.
func (c *costMeter) add(signals []ordering.Signal, desiredCount func(ordering.Signal) int, now time.Time) {
	previous := c.countedUntil
	c.countedUntil = now
	if previous.IsZero() {
		return
	}
	elapsed := now.Sub(previous).Seconds()
	for _, s := range signals {
		name := fmt.Sprintf("radishshelf_orders_upstream_seconds_total{pool=%q}", s.Pool.String())
		c.registry.GetOrCreateFloatCounter(name).Add(float64(desiredCount(s)) * elapsed)
	}
}

// reset stops counting when the role is lost. The next holder starts counting in its first round.
func (c *costMeter) reset() { c.countedUntil = time.Time{} }
