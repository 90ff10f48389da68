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

// quotaInterval is the time between two requests for grants.
const quotaInterval = time.Second

// QuotaGranter is the holder of the quota role. A client of rpc.Peer implements it.
type QuotaGranter interface {
	RequestQuota(ctx context.Context, req *rpc.QuotaRequest) (*rpc.QuotaResponse, error)
}

// QuotaShares are this entry's shares in the limits of the workspaces. It implements Quota.
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
	verdict := q.currentShares().Take(workspace, limit, cost, now)
	if verdict.Allowed {
		return nil
	}
	return newRetryableRefusal(outcome.KindOverQuota, http.StatusTooManyRequests, "the workspace has used its token limit",
		"send the request again after the given time", verdict.RetryAfter)
}

// Adjust implements Quota.
func (q *QuotaShares) Adjust(workspace string, extra int64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.currentShares().Adjust(workspace, extra, now)
}

// currentShares returns the shares. A changed number of entries starts them again, because the static share depends on it.
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

// Run asks the holder of the quota role for grants until ctx ends. holder returns its client, or false while it is not
// known.
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
		// Without a grant the static share holds.
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
