package measure

import (
	"math"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/ordering"
)

// orderPool models the upstreams of one data centre in steps of one second. Every request takes as long as on a fully
// loaded engine.
type orderPool struct {
	run    *ordersRun
	pool   ordering.Pool
	region int
	cfg    EngineConfig
	// ordered is the count of the last order that took effect.
	ordered int
	live    int
	// starting holds the times at which starting upstreams will be live.
	starting []time.Time
	running  int
	waiting  int
	refused  int
}

func newOrderPool(r *ordersRun, pool ordering.Pool, region int) *orderPool {
	p := &orderPool{run: r, pool: pool, region: region, cfg: DefaultEngineConfig()}
	p.running = int(p.arrivalRate() * p.serviceSeconds())
	p.ordered = p.targetCount(p.running)
	p.live = p.ordered
	return p
}

// serviceSeconds returns the mean running time of a request in seconds.
func (p *orderPool) serviceSeconds() float64 {
	return p.run.user.MeanResponseTokens * p.cfg.stepTime(p.cfg.Slots).Seconds()
}

// targetCount returns the number of upstreams at which busy requests use the default target utilization of the slots.
func (p *orderPool) targetCount(busy int) int {
	count := math.Ceil(float64(busy) / (ordering.DefaultTargetUtilization * float64(p.cfg.Slots)))
	return min(max(int(count), ordersMin), ordersMax)
}

// arrivalRate returns the current arrival rate in requests per second.
func (p *orderPool) arrivalRate() float64 {
	u := p.run.user
	at := p.run.sim.Elapsed()
	day := (1 - math.Cos(2*math.Pi*at.Seconds()/ordersDay.Seconds())) / 2
	load := (ordersNight + (ordersPeak-ordersNight)*day) * math.Exp(p.run.noise)
	if at >= ordersJumpFrom && at < ordersJumpUntil {
		load *= ordersJumpFactor
	}
	sum := 0.0
	for _, share := range u.RegionWeights {
		sum += share
	}
	engines := float64(u.EnginesPerRegion * len(u.Regions))
	return load * engines * p.cfg.Capacity() / u.MeanResponseTokens * u.RegionWeights[p.region] / sum
}

func (p *orderPool) step() {
	p.run.upstreamHours += float64(p.ordered) * ordersTick.Hours()
	p.reconcile()
	p.killRandomly()
	done := min(p.running, poisson(p.run.sim, float64(p.running)*ordersTick.Seconds()/p.serviceSeconds()))
	p.running -= done
	p.run.tokens += float64(done) * p.run.user.MeanResponseTokens
	p.startWaiting()
	arrived := poisson(p.run.sim, p.arrivalRate()*ordersTick.Seconds())
	p.run.requests += arrived
	p.waiting += arrived
	p.startWaiting()
	// A request that would wait longer than the time of one response is refused.
	if excess := p.waiting - p.live*p.cfg.Slots; excess > 0 {
		p.waiting -= excess
		p.refused += excess
		p.run.failed += excess
	}
}

func (p *orderPool) startWaiting() {
	n := min(p.waiting, max(0, p.live*p.cfg.Slots-p.running))
	p.waiting -= n
	p.running += n
}

// reconcile models the platform, which starts and stops upstreams until their number is the ordered count.
func (p *orderPool) reconcile() {
	now := p.run.sim.Now()
	p.starting = slices.DeleteFunc(p.starting, func(at time.Time) bool {
		if at.After(now) {
			return false
		}
		p.live++
		return true
	})
	for p.live+len(p.starting) < p.ordered {
		p.starting = append(p.starting, now.Add(ordersStartMin+seconds(p.run.sim.Rand.Float64()*ordersStartRange.Seconds())))
	}
	for p.live+len(p.starting) > p.ordered && len(p.starting) > 0 {
		p.starting = p.starting[:len(p.starting)-1]
	}
	p.live = min(p.live, p.ordered)
}

// killRandomly makes upstreams fail at random. Their requests return to the queue and count as late.
func (p *orderPool) killRandomly() {
	deaths := min(p.live, poisson(p.run.sim, float64(p.live)*ordersTick.Seconds()/ordersLifetime.Seconds()))
	for range deaths {
		lost := p.running / p.live
		p.live--
		p.running -= lost
		p.waiting += lost
		p.run.failed += lost
	}
}

func (p *orderPool) signal() ordering.Signal {
	s := ordering.Signal{
		Pool: p.pool, Live: p.live, Busy: p.running + p.waiting, Slots: p.live * p.cfg.Slots, Refused: p.refused,
		Min: ordersMin, Max: ordersMax,
	}
	p.refused = 0
	return s
}
