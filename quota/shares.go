package quota

import (
	"maps"
	"slices"
	"time"
)

// idleIntervals is the number of demand intervals without traffic after which a workspace is removed.
const idleIntervals = 60

// Shares holds one entry's shares in the rate limits of all workspaces.
type Shares struct {
	cfg     Config
	buckets map[string]*bucket
}

// NewShares returns shares without grants.
func NewShares(cfg Config) *Shares {
	return &Shares{cfg: cfg, buckets: make(map[string]*bucket)}
}

// Take requests cost tokens for a workspace whose limit over all entries is limit tokens per second; 0 means unlimited.
func (s *Shares) Take(workspace string, limit float64, cost int64, now time.Time) Decision {
	if limit <= 0 {
		return Decision{Allowed: true}
	}
	return s.bucket(workspace, limit, now).take(s.cfg, float64(cost), now)
}

// Adjust corrects an earlier Take once the actual number of tokens is known; extra is negative when fewer were used.
func (s *Shares) Adjust(workspace string, extra int64, now time.Time) {
	b, ok := s.buckets[workspace]
	if !ok {
		return
	}
	b.accrue(s.cfg, now)
	b.balance -= float64(extra)
	b.balance = min(b.balance, b.rate(s.cfg, now)*s.cfg.Burst.Seconds())
}

// Demands returns the demand of each active workspace, to be sent to the role holder.
func (s *Shares) Demands(now time.Time) []Demand {
	var demands []Demand
	for _, name := range slices.Sorted(maps.Keys(s.buckets)) {
		b := s.buckets[name]
		b.updateDemand(s.cfg, now)
		b.accrue(s.cfg, now)
		// A bucket with a negative balance is kept when idle: without it the workspace would start again with a full bucket.
		if b.balance >= 0 && now.Sub(b.lastTake) > idleIntervals*s.cfg.DemandInterval {
			delete(s.buckets, name)
			continue
		}
		demands = append(demands, Demand{Workspace: name, TokensPerSecond: b.demand})
	}
	return demands
}

// Apply applies grants from the role holder. requestedAt is when the request for them was sent. Their validity counts
// from then, so that they expire here before they expire on the granter, without comparing clocks.
func (s *Shares) Apply(grants []Grant, requestedAt, now time.Time) {
	for _, g := range grants {
		b, ok := s.buckets[g.Workspace]
		if !ok {
			continue
		}
		b.accrue(s.cfg, now)
		b.grantedRate = g.TokensPerSecond
		b.grantUntil = requestedAt.Add(g.ValidFor)
	}
}

// Rate returns the entry's current rate for a workspace in tokens per second, 0 when the workspace had no traffic.
func (s *Shares) Rate(workspace string, now time.Time) float64 {
	b, ok := s.buckets[workspace]
	if !ok {
		return 0
	}
	return b.rate(s.cfg, now)
}

func (s *Shares) bucket(workspace string, limit float64, now time.Time) *bucket {
	b, ok := s.buckets[workspace]
	if !ok {
		b = &bucket{limit: limit, accruedAt: now, lastTake: now, intervalStart: now}
		b.balance = b.rate(s.cfg, now) * s.cfg.Burst.Seconds()
		s.buckets[workspace] = b
	}
	if b.limit != limit {
		b.accrue(s.cfg, now)
		b.limit = limit
	}
	return b
}
