package entry

import (
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// testTakeover is the takeover time of the default lease settings.
const testTakeover = 34500 * time.Millisecond

type fakeLease struct{ term int64 }

func (l *fakeLease) MayAct(time.Time) (int64, bool) { return l.term, l.term != 0 }

type fakeFreshness struct{ decision fleetconfig.Decision }

func (f *fakeFreshness) Decision(time.Time) fleetconfig.Decision { return f.decision }

// Guards against workspaces that are reduced to their static share while the table is down, and against a former holder
// that continues to grant after it was partitioned or after a pause.
func TestQuotaAuthorityInOutage(t *testing.T) {
	lease, freshness := &fakeLease{term: 3}, &fakeFreshness{}
	a := NewQuotaAuthority(lease, freshness, testTakeover)
	now := time.Unix(0, 0)
	check := func(step string, want int64) {
		t.Helper()
		if term, ok := a.MayAct(now); term != want || ok != (want != 0) {
			t.Fatalf("%s: MayAct = %d, %v; want term %d", step, term, ok, want)
		}
	}
	confirmed := fleetconfig.Decision{Serve: true, Reason: fleetconfig.ReasonConfirmed}
	storeDown := fleetconfig.Decision{Serve: true, Reason: fleetconfig.ReasonStoreDown}
	freshness.decision = confirmed
	check("holding", 3)

	lease.term = 0
	now = now.Add(2 * time.Second)
	check("lease lapsed, table not known to be down", 0)
	freshness.decision = storeDown
	for range 20 {
		now = now.Add(5 * time.Second)
		check("table down", 3)
	}
	freshness.decision = fleetconfig.Decision{Reason: fleetconfig.ReasonTooFewPeers}
	now = now.Add(time.Second)
	check("cut off", 0)
	freshness.decision = storeDown
	now = now.Add(maxOutageGap)
	check("after a pause", 0)

	lease.term = 5
	check("holding again", 5)
}

// Guards against an entry that may grant during an outage without ever having held the role.
func TestQuotaAuthorityNeverHeld(t *testing.T) {
	freshness := &fakeFreshness{decision: fleetconfig.Decision{Serve: true, Reason: fleetconfig.ReasonStoreDown}}
	if _, ok := NewQuotaAuthority(&fakeLease{}, freshness, testTakeover).MayAct(time.Unix(0, 0)); ok {
		t.Fatal("an entry that never held the role may act")
	}
}

// Guards against a former holder that continues to grant beside its successor because the gap exceeds a short takeover
// time.
func TestQuotaAuthorityGapFollowsTakeoverTime(t *testing.T) {
	lease, freshness := &fakeLease{term: 3}, &fakeFreshness{}
	a := NewQuotaAuthority(lease, freshness, 3*time.Second)
	now := time.Unix(0, 0)
	a.MayAct(now)
	lease.term = 0
	freshness.decision = fleetconfig.Decision{Serve: true, Reason: fleetconfig.ReasonStoreDown}
	if _, ok := a.MayAct(now.Add(2 * time.Second)); ok {
		t.Fatal("may act after a pause of two thirds of the takeover time")
	}
}
