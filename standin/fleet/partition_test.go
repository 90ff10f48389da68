package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

const (
	// isolationTimeout is the key freshness of 5 s, the 3 s for which responses of peers count, and 2 s for the checks.
	isolationTimeout = 10 * time.Second
	// reconnectTimeout bounds the time until a region serves again after its links are restored.
	reconnectTimeout = 10 * time.Second
)

// Guards against a partitioned region that keeps serving and so accepts a key withdrawn during the partition, and against a
// region that stays out of service after the partition ends.
func TestPartitionedRegion(t *testing.T) {
	t.Parallel()
	f := New(t, binaries, Options{
		Entries: []string{"sudur", "nordur"}, Engines: []string{"sudur", "nordur"}, RelayEntry: 2,
	})
	key, withdrawn := f.GrantKey(Hraunvegur).Secret, f.GrantKey(Verband)
	connected, partitioned := f.Entries[0], f.Entries[1]
	for _, r := range f.Relays {
		r.Disconnect()
	}
	disconnectedAt := time.Now()
	accepted := make(chan struct{})
	go func() {
		if result, err := f.Operator(0).WithdrawKey(t.Context(), withdrawn.ID); err == nil && result.Accepted {
			close(accepted)
		}
	}()
	Eventually(t, isolationTimeout, partitioned.Name+" refuses keyed requests as not run", func() bool {
		select {
		case <-accepted:
			f.checkRefused(partitioned, withdrawn.Secret, 0)
		default:
		}
		a, err := partitioned.Chat(t.Context(), key, "fare", 4, false)
		return err == nil && a.Status == http.StatusServiceUnavailable && a.NotRun() && a.Kind() == outcome.KindIsolated
	})
	t.Logf("keyed requests are refused %s after the partition began", time.Since(disconnectedAt).Round(100*time.Millisecond))
	select {
	case <-accepted:
	case <-time.After(isolationTimeout):
		t.Errorf("the withdrawal was not accepted although the configuration of %s is no longer fresh", partitioned.Name)
	}
	f.checkRefused(partitioned, withdrawn.Secret, 2*time.Second)
	if a, err := connected.Chat(t.Context(), key, "fare", 4, false); err != nil || a.Status != http.StatusOK {
		t.Errorf("chat in the region with the store: %v: %v", a, err)
	}
	for _, r := range f.Relays {
		r.Reconnect()
	}
	reconnectedAt := time.Now()
	Eventually(t, reconnectTimeout, partitioned.Name+" serves again", func() bool {
		if a, err := partitioned.Chat(t.Context(), withdrawn.Secret, "fare", 4, false); err != nil || a.Status == http.StatusOK {
			t.Fatalf("the withdrawn key works after the partition: %v: %v", a, err)
		}
		a, err := partitioned.Chat(t.Context(), key, "fare", 4, false)
		return err == nil && a.Status == http.StatusOK
	})
	t.Logf("keyed requests are served %s after the partition ended", time.Since(reconnectedAt).Round(100*time.Millisecond))
	f.checkRefused(partitioned, withdrawn.Secret, 2*time.Second)
}

// checkRefused fails the test if a key works at an entry now or at any time within the period.
func (f *Fleet) checkRefused(e *Entry, secret string, period time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(period); ; time.Sleep(pollInterval) {
		if a, err := e.Chat(f.t.Context(), secret, "fare", 4, false); err != nil || a.Status < http.StatusBadRequest {
			f.t.Fatalf("the withdrawn key is not refused by %s: %v: %v", e.Name, a, err)
		}
		if !time.Now().Before(end) {
			return
		}
	}
}
