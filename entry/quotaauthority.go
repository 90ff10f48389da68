package entry

import (
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// FreshnessSource tells whether the configuration of this entry is fresh. *configsync.Syncer implements it.
type FreshnessSource interface {
	Decision(now time.Time) fleetconfig.Decision
}

// QuotaAuthority lets the last holder of the quota role continue during an outage of the table. The lease cannot be
// renewed then, but no other entry can take it over either. Without this, every limited workspace would be reduced to
// the static share while the table is down. An entry that is partitioned from its peers gets a different decision within
// seconds and stops long before a successor on the other side has waited for the lease to expire.
type QuotaAuthority struct {
	lease     Authority
	freshness FreshnessSource
	maxGap    time.Duration

	mu   sync.Mutex
	term int64
	// lastHeldAt is when the lease or the outage rule last permitted acting.
	lastHeldAt time.Time
}

// maxOutageGap is the longest time without authority after which the outage rule may still resume it. It covers the time
// between the expiry of the lease and the moment when the freshness decision reports the outage.
const maxOutageGap = 10 * time.Second

// NewQuotaAuthority returns an authority that follows lease while the table is available. takeoverTime is the shortest
// time between the last action of a holder and the first of its successor; the gap is limited to a third of it.
func NewQuotaAuthority(lease Authority, freshness FreshnessSource, takeoverTime time.Duration) *QuotaAuthority {
	return &QuotaAuthority{lease: lease, freshness: freshness, maxGap: min(maxOutageGap, takeoverTime/3)}
}

// MayAct implements Authority.
func (a *QuotaAuthority) MayAct(now time.Time) (term int64, ok bool) {
	term, held := a.lease.MayAct(now)
	decision := a.freshness.Decision(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if held {
		a.term, a.lastHeldAt = term, now
		return term, true
	}
	if a.term == 0 || now.Sub(a.lastHeldAt) > a.maxGap {
		a.term = 0
		return 0, false
	}
	if !decision.Serve || decision.Reason != fleetconfig.ReasonStoreDown {
		return 0, false
	}
	a.lastHeldAt = now
	return a.term, true
}
