package routing_test

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/radishshelf/radishshelf/routing"
)

// noPrefixes is a prefix index without entries.
type noPrefixes struct{}

func (noPrefixes) Match([]uint64, time.Time) map[string]int { return nil }

// The router prefers an idle upstream nearby, and the decision shows the costs that were compared.
func Example() {
	now := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	cfg := routing.DefaultConfig()
	cfg.DataCentre, cfg.Region = "tirol", "tirol"
	router := routing.New(cfg, noPrefixes{}, routing.NewInFlight(), rand.New(rand.NewSource(1)))
	candidates := []routing.Candidate{
		{Name: "engine-1", DataCentre: "tirol", Region: "tirol", Serves: "planner", Alive: true, Healthy: true, Slots: 8},
		{Name: "engine-2", DataCentre: "wien", Region: "wien", Serves: "planner", Alive: true, Healthy: true, Slots: 8},
		{Name: "engine-3", DataCentre: "tirol", Region: "tirol", Serves: "planner", Alive: true, Healthy: true, Leaving: true},
	}
	decision, err := router.Route(routing.Request{ID: "r1", Serves: "planner", CostTokens: 100}, candidates, now)
	fmt.Println(decision, err)
	// Output:
	// request=r1 chosen=engine-1 candidates=3 removed.leaving=1 cost.engine-1=0.000(prefix:0.000,wait:0.000,place:0.000) cost.engine-2=0.540(prefix:0.000,wait:0.000,place:0.540) <nil>
}
