package quota

import "time"

// Granter divides the granted part of each limit. It runs on the holder of the quota role.
type Granter struct {
	cfg     Config
	readyAt time.Time
	ledgers map[string]*ledger
}

// NewGranter returns the granter of a process that acquired the role at the given time. It grants nothing until the
// grants of the previous holder have expired.
func NewGranter(cfg Config, acquired time.Time) *Granter {
	return &Granter{cfg: cfg, readyAt: acquired.Add(cfg.GrantDuration), ledgers: make(map[string]*ledger)}
}

// ReadyAt returns the time from which grants are issued.
func (g *Granter) ReadyAt() time.Time { return g.readyAt }

// Request records an entry's demands and returns its grants. limit returns the limit of a workspace; workspaces without
// a limit get no grant.
func (g *Granter) Request(entry string, demands []Demand, limit func(workspace string) float64, now time.Time) []Grant {
	var grants []Grant
	for _, d := range demands {
		l := limit(d.Workspace)
		if l <= 0 {
			continue
		}
		ledger := g.ledger(d.Workspace)
		ledger.refresh(g.cfg.StaticRate(l), now)
		ledger.setDemand(entry, expiringRate{rate: d.TokensPerSecond, expires: now.Add(g.cfg.GrantDuration)})
		if now.Before(g.readyAt) {
			continue
		}
		rate := ledger.grantableRate(entry, g.cfg.GrantedRate(l))
		ledger.addGrant(entry, expiringRate{rate: rate, expires: now.Add(g.cfg.GrantDuration)})
		grants = append(grants, Grant{Workspace: d.Workspace, TokensPerSecond: rate, ValidFor: g.cfg.GrantDuration})
	}
	return grants
}

// Sweep removes workspaces without unexpired grants and demands.
func (g *Granter) Sweep(now time.Time) {
	for name, l := range g.ledgers {
		l.recount(l.staticRate, now)
		if len(l.grants) == 0 && len(l.demands) == 0 {
			delete(g.ledgers, name)
		}
	}
}

func (g *Granter) ledger(workspace string) *ledger {
	l, ok := g.ledgers[workspace]
	if !ok {
		l = newLedger()
		g.ledgers[workspace] = l
	}
	return l
}
