package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

const (
	// isolationTimeout is key_freshness, the time for which answers of peers count, and two seconds for the checks.
	isolationTimeout = 10 * time.Second
	// reconnectTimeout is the time within which a region serves again after its links are back.
	reconnectTimeout = 10 * time.Second
)

// Guards against a cut-off region that serves on, where a key that was withdrawn meanwhile would keep working, and
// against one that stays out of service after the cut.
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
	Eventually(t, isolationTimeout, partitioned.Name+" refuses keyed work as not run", func() bool {
		select {
		case <-accepted:
			f.checkRefused(partitioned, withdrawn.Secret, 0)
		default:
		}
		a, err := partitioned.Chat(t.Context(), key, "fare", 4, false)
		return err == nil && a.Status == http.StatusServiceUnavailable && a.NotRun() && a.Kind() == outcome.KindIsolated
	})
	t.Logf("keyed work is refused %s after the cut", time.Since(disconnectedAt).Round(100*time.Millisecond))
	select {
	case <-accepted:
	case <-time.After(isolationTimeout):
		t.Errorf("the withdrawal was not accepted although %s has lost its freshness", partitioned.Name)
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
			t.Fatalf("the withdrawn key after the cut: %v: %v", a, err)
		}
		a, err := partitioned.Chat(t.Context(), key, "fare", 4, false)
		return err == nil && a.Status == http.StatusOK
	})
	t.Logf("keyed work is served %s after the cut healed", time.Since(reconnectedAt).Round(100*time.Millisecond))
	f.checkRefused(partitioned, withdrawn.Secret, 2*time.Second)
}

// checkRefused fails when a key works at an entry now or at any time within the period.
func (f *Fleet) checkRefused(e *Entry, secret string, period time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(period); ; time.Sleep(pollInterval) {
		if a, err := e.Chat(f.t.Context(), secret, "fare", 4, false); err != nil || a.Status < http.StatusBadRequest {
			f.t.Fatalf("the withdrawn key at %s: %v: %v", e.Name, a, err)
		}
		if !time.Now().Before(end) {
			return
		}
	}
}
