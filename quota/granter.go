package quota

import (
	"maps"
	"slices"
	"time"
)

// issued is a grant that an entry may still use.
type issued struct {
	rate  float64
	until time.Time
}

// ledger holds the grants and demands of one workspace.
type ledger struct {
	// grants holds all unexpired grants of each entry: the reply with a smaller one may be lost, so that the entry
	// continues to use the larger one.
	grants  map[string][]issued
	demands map[string]issued
}

// Granter divides the granted part of each limit; it runs on the holder of the quota role.
type Granter struct {
	cfg     Config
	readyAt time.Time
	ledgers map[string]*ledger
}

// NewGranter returns the granter of a new role holder. It grants nothing until the grants of the holder before it have
// expired.
func NewGranter(cfg Config, acquired time.Time) *Granter {
	return &Granter{cfg: cfg, readyAt: acquired.Add(cfg.GrantFor), ledgers: make(map[string]*ledger)}
}

// ReadyAt is when the first grant can be issued.
func (g *Granter) ReadyAt() time.Time { return g.readyAt }

// Request answers an entry's demands. limit returns the limit of a workspace; workspaces without one get no grant.
func (g *Granter) Request(entry string, demands []Demand, limit func(workspace string) float64, now time.Time) []Grant {
	var grants []Grant
	for _, d := range demands {
		l := limit(d.Workspace)
		if l <= 0 {
			continue
		}
		ledger := g.ledger(d.Workspace)
		ledger.expire(now)
		ledger.demands[entry] = issued{rate: d.TokensPerSecond, until: now.Add(g.cfg.GrantFor)}
		if now.Before(g.readyAt) {
			continue
		}
		rate := ledger.share(entry, g.cfg, l)
		ledger.grants[entry] = append(ledger.grants[entry], issued{rate: rate, until: now.Add(g.cfg.GrantFor)})
		grants = append(grants, Grant{Workspace: d.Workspace, TokensPerSecond: rate, ValidFor: g.cfg.GrantFor})
	}
	return grants
}

// Sweep forgets workspaces without grants or demand.
func (g *Granter) Sweep(now time.Time) {
	for name, l := range g.ledgers {
		l.expire(now)
		if len(l.grants) == 0 && len(l.demands) == 0 {
			delete(g.ledgers, name)
		}
	}
}

func (g *Granter) ledger(workspace string) *ledger {
	l, ok := g.ledgers[workspace]
	if !ok {
		l = &ledger{grants: make(map[string][]issued), demands: make(map[string]issued)}
		g.ledgers[workspace] = l
	}
	return l
}

// share is the entry's part of the granted rate by demand, at most what the other entries' grants leave.
func (l *ledger) share(entry string, cfg Config, limit float64) float64 {
	granted := cfg.GrantedRate(limit)
	static := cfg.StaticRate(limit)
	wanted, total := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(l.demands)) {
		// Demand that the static share covers needs no grant.
		excess := max(0, l.demands[name].rate-static)
		total += excess
		if name == entry {
			wanted = excess
		}
	}
	if total <= 0 {
		return 0
	}
	left := granted
	for _, name := range slices.Sorted(maps.Keys(l.grants)) {
		if name != entry {
			left -= largest(l.grants[name])
		}
	}
	return max(0, min(granted*wanted/total, left))
}

func (l *ledger) expire(now time.Time) {
	for name, d := range l.demands {
		if !now.Before(d.until) {
			delete(l.demands, name)
		}
	}
	for name, list := range l.grants {
		list = slices.DeleteFunc(list, func(i issued) bool { return !now.Before(i.until) })
		if len(list) == 0 {
			delete(l.grants, name)
			continue
		}
		l.grants[name] = list
	}
}

// largest is the highest rate that an entry may still be using.
func largest(list []issued) float64 {
	highest := 0.0
	for _, i := range list {
		highest = max(highest, i.rate)
	}
	return highest
}
