package quota_test

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/quota"
)

// Without a grant an entry has its static rate; the holder of the quota role grants parts of the rest by demand.
func Example() {
	now := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	cfg := quota.DefaultConfig()
	cfg.MaxEntries = 2
	const limit = 1000.0
	shares := quota.NewShares(cfg)
	granter := quota.NewGranter(cfg, now)

	fmt.Println(shares.Take("north", limit, 100, now).Allowed)
	fmt.Println("static:", shares.Rate("north", now))

	now = granter.ReadyAt()
	for range 20 {
		shares.Take("north", limit, 500, now)
	}
	now = now.Add(time.Second)
	grants := granter.Request("entry-1", shares.Demands(now), func(string) float64 { return limit }, now)
	shares.Apply(grants, now, now)
	fmt.Println("with the grant:", shares.Rate("north", now))
	fmt.Println("after its end:", shares.Rate("north", now.Add(cfg.GrantDuration)))
	// Output:
	// true
	// static: 125
	// with the grant: 875
	// after its end: 125
}
