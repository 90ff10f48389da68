package entry

import (
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// FreshnessSource returns the verdict of the freshness rule. configsync.Syncer implements it.
type FreshnessSource interface {
	Verdict(now time.Time) fleetconfig.Verdict
}

// QuotaAuthority lets the last holder of the quota role go on during an outage of the table. The lease cannot be
// renewed then, but nobody can take it over either; without this, every limited workspace would fall to the static
// share for as long as the table is down. An entry that is cut off gets another verdict within seconds and stops long
// before a successor on the other side has waited out the lease.
type QuotaAuthority struct {
	lease     Authority
	freshness FreshnessSource
	maxGap    time.Duration

	mu   sync.Mutex
	term int64
	// lastHeldAt is the last moment at which the lease or the outage rule allowed to act.
	lastHeldAt time.Time
}

// maxOutageGap is the longest time without authority after which the outage rule may still continue it. It covers the time
// in which the lease has lapsed and the freshness rule does not name the outage yet.
const maxOutageGap = 10 * time.Second

// NewQuotaAuthority returns an authority that follows lease while the table answers. takeover is the shortest time after
// the last action of a holder in which a successor may act; a third of it bounds the gap.
func NewQuotaAuthority(lease Authority, freshness FreshnessSource, takeoverTime time.Duration) *QuotaAuthority {
	return &QuotaAuthority{lease: lease, freshness: freshness, maxGap: min(maxOutageGap, takeoverTime/3)}
}

// MayAct implements Authority.
func (a *QuotaAuthority) MayAct(now time.Time) (term int64, ok bool) {
	term, held := a.lease.MayAct(now)
	verdict := a.freshness.Verdict(now)
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
	if !verdict.Serve || verdict.Reason != fleetconfig.ReasonStoreDown {
		return 0, false
	}
	a.lastHeldAt = now
	return a.term, true
}
