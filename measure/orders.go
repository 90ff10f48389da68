package measure

import (
	"time"

	"github.com/radishshelf/radishshelf/ordering"
)

// Length and load of the order scenario. A daily load curve is compressed to four hours, so that the load changes six
// times as fast as in reality, while the start-up times of upstreams and the scaling delays are realistic. A load jump
// doubles the load for twenty minutes.
const (
	ordersDay        = 4 * time.Hour
	ordersTick       = time.Second
	ordersPeak       = 0.6
	ordersNight      = 0.2
	ordersNoise      = 0.15
	ordersNoiseTime  = 20 * time.Second
	ordersJumpFrom   = 100 * time.Minute
	ordersJumpUntil  = 120 * time.Minute
	ordersJumpFactor = 2
)

// Upstreams of the order scenario: start-up time, mean lifetime, and minimum and maximum count per pool.
const (
	ordersStartMin   = 2 * time.Minute
	ordersStartRange = 2 * time.Minute
	ordersLifetime   = 2 * time.Hour
	ordersMin        = 1
	ordersMax        = 16
	// ordersReplyLoss is the fraction of platform calls that get no reply; half of these calls have no effect either.
	ordersReplyLoss = 0.1
)

// OrdersScenario compares the order manager with a sender that orders directly from the current load.
func OrdersScenario() Scenario {
	return Scenario{
		Name:     "(g) ordering upstreams over a day in four hours: daily curve, noise, a load jump, start-up of 2-4 min, upstreams die every 2 h, a tenth of the replies lost",
		Baseline: "a count from the load of each second, ordered again until a reply arrives",
		Run: func(u User, seed int64) []Figure {
			policy := runOrders(u, seed, newManagedSender)
			baseline := runOrders(u, seed, newReactiveSender)
			return []Figure{
				{"upstream-hours ordered", "/million tokens", LowerIsBetter, policy.hoursPerMillionTokens(), baseline.hoursPerMillionTokens()},
				{"refused or late", "of requests", LowerIsBetter, policy.failedFraction(), baseline.failedFraction()},
				{"orders that took effect", "", LowerIsBetter, float64(policy.platform.effective), float64(baseline.platform.effective)},
				{"changes of direction", "/h and pool", LowerIsBetter, policy.directionChangesPerHour(), baseline.directionChangesPerHour()},
				{"orders that took effect twice", "", LowerIsBetter, float64(policy.platform.duplicated), float64(baseline.platform.duplicated)},
			}
		},
	}
}

// orderSender evaluates the load once a second and places orders.
type orderSender interface{ runRound() }

// ordersRun holds the state and the results of one run.
type ordersRun struct {
	sim           *Sim
	user          User
	platform      *orderPlatform
	pools         []*orderPool
	noise         float64
	upstreamHours float64
	tokens        float64
	requests      int
	failed        int
}

func (r *ordersRun) hoursPerMillionTokens() float64 { return r.upstreamHours / (r.tokens / 1e6) }

func (r *ordersRun) failedFraction() float64 { return float64(r.failed) / float64(r.requests) }

func (r *ordersRun) directionChangesPerHour() float64 {
	return float64(r.platform.directionChanges) / ordersDay.Hours() / float64(len(r.pools))
}

func runOrders(u User, seed int64, newSender func(*ordersRun) orderSender) *ordersRun {
	s := NewSim(seed)
	r := &ordersRun{sim: s, user: u, platform: newOrderPlatform(s)}
	for i, region := range u.Regions {
		p := newOrderPool(r, ordering.Pool{DataCentre: region, Kind: "engine:p"}, i)
		r.pools = append(r.pools, p)
		r.platform.pools[p.pool] = p
	}
	sender := newSender(r)
	s.Every(ordersTick, func() {
		r.updateNoise()
		for _, p := range r.pools {
			p.step()
		}
		sender.runRound()
	})
	s.Run(ordersDay)
	return r
}

// updateNoise advances the load noise, which is common to all pools and has a correlation time of about
// ordersNoiseTime.
func (r *ordersRun) updateNoise() {
	correlation := 1 - ordersTick.Seconds()/ordersNoiseTime.Seconds()
	scale := ordersNoise * noiseScale(correlation)
	r.noise = correlation*r.noise + scale*r.sim.Rand.NormFloat64()
}

// signals returns the load of all pools since the last call.
func (r *ordersRun) signals(time.Time) []ordering.Signal {
	var all []ordering.Signal
	for _, p := range r.pools {
		all = append(all, p.signal())
	}
	return all
}
