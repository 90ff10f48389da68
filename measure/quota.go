package measure

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/quota"
)

// Parameters of the quota scenario. The demand of the workspace exceeds its limit by a fifth.
const (
	quotaLength          = 10 * time.Minute
	quotaEntries         = 6
	quotaLimit           = 10_000.0
	quotaDemand          = 1.2
	quotaSkewedShare     = 0.9
	quotaShiftInterval   = 30 * time.Second
	quotaWindow          = 10 * time.Second
	quotaRequestInterval = time.Second
	quotaReplyLoss       = 0.05
	quotaRoundTrip       = 40 * time.Millisecond
	quotaHolderChange    = 4 * time.Minute
	quotaMeanTokens      = 300
)

// QuotaScenario compares quota shares that are partly static and partly granted on demand with an even split. If skewed
// is set, two entries receive nine tenths of the demand, and the pair changes every 30 seconds.
func QuotaScenario(skewed bool) Scenario {
	name := "demand even over 6 entries"
	if skewed {
		name = "nine tenths of the demand at 2 of 6 entries, moving every 30 s"
	}
	return Scenario{
		Name:            "(f) quota, " + name + ", holder changes once",
		Baseline:        "even split over the live entries",
		SizeIndependent: true,
		Run: func(_ User, seed int64) []Figure {
			policy := runQuota(seed, skewed, true)
			baseline := runQuota(seed, skewed, false)
			return []Figure{
				{"largest overshoot", "of limit, 10 s", LowerIsBetter, policy.overshoot, baseline.overshoot},
				{"limit unused under demand", "of limit", LowerIsBetter, policy.unusedFraction(), baseline.unusedFraction()},
			}
		},
	}
}

// quotaRun holds the results of one run.
type quotaRun struct {
	windowTokens float64
	totalTokens  float64
	overshoot    float64
}

func (r *quotaRun) unusedFraction() float64 {
	return max(0, 1-r.totalTokens/(quotaLimit*quotaLength.Seconds()))
}

func (r *quotaRun) closeWindow() {
	r.overshoot = max(r.overshoot, r.windowTokens/(quotaLimit*quotaWindow.Seconds())-1)
	r.windowTokens = 0
}

// runQuota runs one simulation. Policy and baseline use the same token buckets; the baseline divides the whole limit
// evenly among the live entries and has no grants.
func runQuota(seed int64, skewed, policy bool) *quotaRun {
	s := NewSim(seed)
	cfg := quota.DefaultConfig()
	if !policy {
		cfg.MaxEntries = quotaEntries
		cfg.StaticFraction = 1
	}
	entries := make([]*quota.Shares, quotaEntries)
	for i := range entries {
		entries[i] = quota.NewShares(cfg)
	}
	run := &quotaRun{}
	s.Every(quotaWindow, run.closeWindow)
	if policy {
		startGrants(s, cfg, entries)
	}
	rate := quotaDemand * quotaLimit / quotaMeanTokens
	s.Poisson(func() float64 { return rate }, func() {
		cost := int64(lognormal(s, quotaMeanTokens, 0.6, 8*quotaMeanTokens))
		if entries[pickQuotaEntry(s, skewed)].Take("w", quotaLimit, cost, s.Now()).Allowed {
			run.windowTokens += float64(cost)
			run.totalTokens += float64(cost)
		}
	})
	s.Run(quotaLength)
	return run
}

// pickQuotaEntry returns the index of the entry that receives a request.
func pickQuotaEntry(s *Sim, skewed bool) int {
	if !skewed || s.Rand.Float64() >= quotaSkewedShare {
		return s.Rand.Intn(quotaEntries)
	}
	phase := int(s.Elapsed() / quotaShiftInterval)
	return (2*phase + s.Rand.Intn(2)) % quotaEntries
}

// startGrants makes the entries request quota from the role holder every second. Some replies are lost, and the holder
// changes once; the new holder starts without the grants of the previous one.
func startGrants(s *Sim, cfg quota.Config, entries []*quota.Shares) {
	granter := quota.NewGranter(cfg, s.Now())
	s.After(quotaHolderChange, func() { granter = quota.NewGranter(cfg, s.Now()) })
	limits := func(string) float64 { return quotaLimit }
	for i, e := range entries {
		s.Every(quotaRequestInterval, func() {
			sent := s.Now()
			demands := e.Demands(sent)
			s.After(quotaRoundTrip/2, func() {
				grants := granter.Request(fmt.Sprint(i), demands, limits, s.Now())
				if s.Rand.Float64() < quotaReplyLoss {
					return
				}
				s.After(quotaRoundTrip/2, func() { e.Apply(grants, sent, s.Now()) })
			})
		})
	}
}
