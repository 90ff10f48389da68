package fleet

import (
	"net/http"
	"testing"
	"time"
)

const pollInterval = 50 * time.Millisecond

// Eventually fails the test unless check is true within the time.
func Eventually(t testing.TB, within time.Duration, condition string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", within, condition)
		}
		time.Sleep(pollInterval)
	}
}

// WaitReady waits for the readiness of the process with a status address.
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

// Restart stops a process in an orderly way and starts it again with the same settings.
func (f *Fleet) Restart(p *Process, status string) {
	f.t.Helper()
	p.Stop()
	p.Start()
	f.WaitReady(status)
}
