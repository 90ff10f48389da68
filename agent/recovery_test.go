package agent

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/settings"
)

// Guards against a recovered upstream that gets no requests until the next periodic heartbeat. During a rolling
// replacement this left two agents of one policy unhealthy at the same time.
func TestRecoveryIsReportedImmediately(t *testing.T) {
	var broken atomic.Bool
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if broken.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer upstream.Close()
	f := startAgent(t, upstream.URL, fleetconfig.UpstreamService, func(s *Settings) {
		s.HeartbeatInterval = settings.Duration(time.Minute)
	})
	broken.Store(true)
	f.eventually("report of the failure", func() bool { return !f.entries[0].lastReport().Healthy })
	broken.Store(false)
	f.eventually("report of the recovery", func() bool { return f.entries[0].lastReport().Healthy })
}
