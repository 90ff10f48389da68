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

// maxDemands limits the workspaces in one request.
const maxDemands = 10_000

// Authority tells whether this process may act for a role. roles.Authority implements it.
type Authority interface {
	MayAct(now time.Time) (term int64, ok bool)
}

// QuotaHolder grants shares of the workspace token limits while this entry holds the quota role.
type QuotaHolder struct {
	authority Authority
	config    Config

	mu      sync.Mutex
	term    int64
	entries int
	granter *quota.Granter
}

// NewQuotaHolder returns a holder that grants shares while authority permits acting.
func NewQuotaHolder(authority Authority, config Config) *QuotaHolder {
	return &QuotaHolder{authority: authority, config: config}
}

// RequestQuota handles the request of an entry. If this entry does not hold the role, the response has no grants.
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

// resetGranter starts a new granter if the term or the number of entries has changed. The new granter grants nothing
// until the grants of its predecessor have expired. The caller must hold the lock.
func (h *QuotaHolder) resetGranter(term int64, entries int, now time.Time) {
	if h.granter != nil && h.term == term && h.entries == entries {
		return
	}
	h.term = term
	h.entries = entries
	h.granter = quota.NewGranter(quotaConfig(entries), now)
}
