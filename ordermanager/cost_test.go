package ordermanager

import (
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/ordering"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Guards against counting upstream cost for a time in which another process held the role.
func TestCostCountsOnlyWhileRoleIsHeld(t *testing.T) {
	c := costMeter{registry: telemetry.NewRegistry()}
	pool := ordering.Pool{DataCentre: "sudur", Kind: "trip-fares"}
	signals := []ordering.Signal{{Pool: pool}}
	three := func(ordering.Signal) int { return 3 }
	start := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	c.add(signals, three, start)
	c.add(signals, three, start.Add(2*time.Second))
	c.reset()
	c.add(signals, three, start.Add(time.Hour))
	c.add(signals, three, start.Add(time.Hour+time.Second))
	got := c.registry.GetOrCreateFloatCounter(`radishshelf_orders_upstream_seconds_total{pool="sudur/trip-fares"}`).Get()
	if got != 9 {
		t.Errorf("%v upstream seconds; want 9", got)
	}
}
