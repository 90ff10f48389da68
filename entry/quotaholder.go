package entry

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/quota"
	"github.com/radishshelf/radishshelf/rpc"
)

// maxDemands bounds the workspaces of one request.
const maxDemands = 10_000

// Authority tells whether this process may act for a role. roles.Authority implements it.
type Authority interface {
	MayAct(now time.Time) (term int64, ok bool)
}

// QuotaHolder grants shares of the workspace limits while this entry holds the quota role.
type QuotaHolder struct {
	authority Authority
	config    Config

	mu      sync.Mutex
	term    int64
	entries int
	granter *quota.Granter
}

// NewQuotaHolder returns a holder that grants nothing until authority may act.
func NewQuotaHolder(authority Authority, config Config) *QuotaHolder {
	return &QuotaHolder{authority: authority, config: config}
}

// RequestQuota answers an entry's request.
func (h *QuotaHolder) RequestQuota(_ context.Context, req *rpc.QuotaRequest) (*rpc.QuotaResponse, error) {
	if len(req.GetDemands()) > maxDemands {
		return nil, twirp.InvalidArgumentError("demands", "are too many")
	}
	now := time.Now()
	term, ok := h.authority.MayAct(now)
	if !ok {
		return &rpc.QuotaResponse{}, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	view := h.config.View()
	h.resetGranter(term, view.Defaults().MaxEntries, now)
	var demands []quota.Demand
	for _, d := range req.GetDemands() {
		demands = append(demands, quota.Demand{Workspace: d.GetWorkspace(), TokensPerSecond: d.GetTokensPerSecond()})
	}
	limit := func(workspace string) float64 {
		return view.Effective(fleetconfig.Scope{Workspace: workspace}).TokensPerSecond
	}
	resp := &rpc.QuotaResponse{Holder: true, Term: term}
	for _, g := range h.granter.Request(req.GetEntry(), demands, limit, now) {
		resp.Grants = append(resp.Grants, &rpc.QuotaGrant{
			Workspace: g.Workspace, TokensPerSecond: g.TokensPerSecond, ValidMs: g.ValidFor.Milliseconds(),
		})
	}
	h.granter.Sweep(now)
	return resp, nil
}

// resetGranter starts a new granter for a new term, or when the number of entries changed. It grants nothing until the grants
// before it have expired.
func (h *QuotaHolder) resetGranter(term int64, entries int, now time.Time) {
	if h.granter != nil && h.term == term && h.entries == entries {
		return
	}
	h.term = term
	h.entries = entries
	h.granter = quota.NewGranter(quotaConfig(entries), now)
}
