package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/quota"
	"github.com/radishshelf/radishshelf/rpc"
)

// quotaInterval is how often grants are requested.
const quotaInterval = time.Second

// QuotaGranter requests grants from the holder of the quota role. A client of rpc.Peer implements it.
type QuotaGranter interface {
	RequestQuota(ctx context.Context, req *rpc.QuotaRequest) (*rpc.QuotaResponse, error)
}

// QuotaShares holds this entry's shares of the workspace token limits. It implements Quota.
type QuotaShares struct {
	name   string
	config Config

	mu         sync.Mutex
	maxEntries int
	shares     *quota.Shares
}

// NewQuotaShares returns shares without grants.
func NewQuotaShares(name string, config Config) *QuotaShares {
	return &QuotaShares{name: name, config: config}
}

// Take implements Quota.
func (q *QuotaShares) Take(workspace string, limit float64, cost int64, now time.Time) error {
	if workspace == "" || limit <= 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	decision := q.currentShares().Take(workspace, limit, cost, now)
	if decision.Allowed {
		return nil
	}
	return newRetryableRefusal(outcome.KindOverQuota, http.StatusTooManyRequests, "the workspace has exceeded its token limit",
		"repeat the request after the time in Retry-After", decision.RetryAfter)
}

// Adjust implements Quota.
func (q *QuotaShares) Adjust(workspace string, extra int64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.currentShares().Adjust(workspace, extra, now)
}

// currentShares returns the shares. If the number of entries has changed, it starts new ones, because the static share
// depends on that number. The caller must hold the lock.
func (q *QuotaShares) currentShares() *quota.Shares {
	entries := q.config.View().Defaults().MaxEntries
	if q.shares == nil || entries != q.maxEntries {
		q.maxEntries = entries
		q.shares = quota.NewShares(quotaConfig(entries))
	}
	return q.shares
}

func quotaConfig(entries int) quota.Config {
	config := quota.DefaultConfig()
	config.MaxEntries = entries
	return config
}

// Run requests grants from the holder of the quota role until ctx ends. holder returns a client of the holder, or false
// while the holder is unknown.
func (q *QuotaShares) Run(ctx context.Context, holder func() (QuotaGranter, bool)) {
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.requestGrants(ctx, holder)
		}
	}
}

// requestGrants reports the demand of this entry and applies the grants that it receives.
func (q *QuotaShares) requestGrants(ctx context.Context, holder func() (QuotaGranter, bool)) {
	sent := time.Now()
	q.mu.Lock()
	demands := q.currentShares().Demands(sent)
	q.mu.Unlock()
	peer, known := holder()
	if len(demands) == 0 || !known {
		return
	}
	req := &rpc.QuotaRequest{Entry: q.name}
	for _, d := range demands {
		req.Demands = append(req.Demands, &rpc.QuotaDemand{Workspace: d.Workspace, TokensPerSecond: d.TokensPerSecond})
	}
	ctx, cancel := context.WithTimeout(ctx, quotaInterval)
	defer cancel()
	resp, err := peer.RequestQuota(ctx, req)
	if err != nil || !resp.GetHolder() {
		// Without a grant the static share applies.
		return
	}
	var grants []quota.Grant
	for _, g := range resp.GetGrants() {
		grants = append(grants, quota.Grant{
			Workspace: g.GetWorkspace(), TokensPerSecond: g.GetTokensPerSecond(),
			ValidFor: time.Duration(g.GetValidMs()) * time.Millisecond,
		})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.currentShares().Apply(grants, sent, time.Now())
}
