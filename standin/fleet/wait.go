package fleet

import (
	"net/http"
	"testing"
	"time"
)

const pollInterval = 50 * time.Millisecond

// Eventually polls check and fails the test unless it returns true within the given time. condition describes the expected
// state.
func Eventually(t testing.TB, within time.Duration, condition string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", within, condition)
		}
		time.Sleep(pollInterval)
	}
}

// WaitReady waits until the process with the given status address is ready.
func (f *Fleet) WaitReady(status string) {
	f.t.Helper()
	Eventually(f.t, readyTimeout, status+" is ready", func() bool { return isReady(status) })
}

func isReady(status string) bool {
	resp, err := http.Get("http://" + status + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Restart stops a process gracefully, starts it again with the same settings and waits until it is ready.
func (f *Fleet) Restart(p *Process, status string) {
	f.t.Helper()
	p.Stop()
	p.Start()
	f.WaitReady(status)
}
