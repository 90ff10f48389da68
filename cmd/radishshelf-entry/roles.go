package main

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/ordering"
	"github.com/radishshelf/radishshelf/ordermanager"
	"github.com/radishshelf/radishshelf/roles"
	"github.com/radishshelf/radishshelf/rollout"
	"github.com/radishshelf/radishshelf/rolloutmanager"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/usagestore"
)

func (p *process) newRoles() (*roles.Runner, error) {
	return roles.New(roles.Options{
		Table: p.services.Table, Lease: p.settings.LeaseConfig(p.settings.Name + "/" + p.incarnation), Rank: p.rank,
		Eligible: func() bool { return p.ready() == nil }, Log: p.log, Registry: p.registry,
	})
}

// rank returns the position of this entry among the live entries, ordered by a hash of role and name, so that roles are
// spread over the entries.
func (p *process) rank(role string) int {
	names := []string{p.settings.Name}
	for _, info := range p.syncer.Entries(time.Now()) {
		if !info.GetLeaving() {
			names = append(names, info.GetName())
		}
	}
	hash := func(name string) uint64 { return xxhash.Sum64String(role + "\x00" + name) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(hash(b), hash(a)) })
	return slices.Index(names, p.settings.Name)
}

func (p *process) ownRoles() []*rpc.RoleInfo {
	var list []*rpc.RoleInfo
	for _, info := range p.roles.Infos(time.Now()) {
		list = append(list, &rpc.RoleInfo{Role: info.Role, Holder: info.Holder, Term: info.Term})
	}
	return list
}

// quotaGranter returns a client of the entry that holds the quota role, or false if none is known.
func (p *process) quotaGranter() (entry.QuotaGranter, bool) {
	holder, ok := p.roleView.Holder(roles.Quota)
	if !ok {
		return nil, false
	}
	name, _, _ := strings.Cut(holder, "/")
	if name == p.settings.Name {
		return localQuota{p}, true
	}
	for _, info := range p.syncer.Entries(time.Now()) {
		if info.GetName() == name {
			return p.dialer.Dial(info.GetPeerAddress()), true
		}
	}
	return nil, false
}

// localQuota serves this entry's own quota requests without a network call.
type localQuota struct{ p *process }

func (o localQuota) RequestQuota(ctx context.Context, req *rpc.QuotaRequest) (*rpc.QuotaResponse, error) {
	return o.p.quotaServer.RequestQuota(ctx, req)
}

func (p *process) newOrders() (*ordermanager.Manager, error) {
	return ordermanager.New(ordermanager.Options{
		Table: p.services.Table, Orders: p.services.Orders, Authority: p.roles.Authority(roles.Orders),
		Planning: ordering.DefaultConfig(), Signals: p.entry.Signals, Log: p.log, Registry: p.registry,
	})
}

func (p *process) newRollouts() (*rolloutmanager.Manager, error) {
	return rolloutmanager.New(rolloutmanager.Options{
		Table: p.services.Table, Config: broadcastWriter{p}, Authority: p.roles.Authority(roles.Rollout),
		Planning: rollout.DefaultConfig(), Rollouts: p.rollouts, Engines: p.engines, Log: p.log, Registry: p.registry,
	})
}

// rollouts returns the rollout of each policy, sorted by policy.
func (p *process) rollouts() []rolloutmanager.PolicyRollout {
	view := p.syncer.View()
	var list []rolloutmanager.PolicyRollout
	for policy := range view.Policies() {
		current := rolloutmanager.PolicyRollout{Policy: policy}
		if r, ok := view.Rollout(policy); ok {
			object, _ := view.Object(fleetconfig.KindRollout, policy)
			current.Rollout = r
			current.Revision = object.Revision
		}
		list = append(list, current)
	}
	slices.SortFunc(list, func(a, b rolloutmanager.PolicyRollout) int { return cmp.Compare(a.Policy, b.Policy) })
	return list
}

func (p *process) engines(policy string, now time.Time) []rollout.Engine {
	var list []rollout.Engine
	for _, u := range p.fleet.Upstreams(now) {
		if u.Kind != fleetconfig.UpstreamEngine || u.Serves != policy {
			continue
		}
		list = append(list, rollout.Engine{
			Upstream: u.Name, Healthy: u.Healthy && (u.Status == membership.Live || u.Status == membership.Suspect),
			Active: u.ActiveVersion, Staged: u.StagedVersions,
		})
	}
	return list
}

func (p *process) newReporter() *usagestore.Reporter {
	return usagestore.NewReporter(usagestore.ReporterOptions{
		Table: p.services.Table, Sink: p.services.Usage, Authority: p.roles.Authority(roles.Usage), Window: p.window,
		Grace: p.settings.UsageGrace.D(), Interval: p.settings.UsageInterval.D(),
		Log: p.log, Registry: p.registry,
	})
}
