package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// startOddService starts a service that responds to requests with a status line, and to health checks too once odd is set.
func startOddService(t *testing.T, status string, odd *atomic.Bool) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" && !odd.Load() {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}", status) // the agent may close the connection early
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against an upstream's response whose status is of no class and that the agent passes on, panics on, or takes for
// a sign of health.
func TestOddStatusOfUpstream(t *testing.T) {
	for _, status := range []string{"000 None", "099 Low", "101 Switching Protocols", "304 Not Modified", "600 High", "999 High"} {
		var odd atomic.Bool
		f := startAgent(t, startOddService(t, status, &odd), fleetconfig.UpstreamService, nil)
		_, err := f.client.Do(t.Context(), f.call("r1", http.MethodPost, "/bookings", []byte("{}")))
		refusal, ok := outcome.AsRefusal(err)
		if !ok || refusal.Outcome != outcome.MayHaveRun || !strings.Contains(refusal.Message, "refused") {
			t.Errorf("status %s: %v, want a refusal by the agent, may have run", status, err)
		}
		odd.Store(true)
		for end := time.Now().Add(testTimeout); f.health.healthy(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("status %s: the upstream counts as healthy", status)
			}
		}
	}
}
