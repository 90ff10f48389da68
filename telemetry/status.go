package telemetry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Limits of the status server.
const (
	statusReadTimeout    = 5 * time.Second
	statusWriteTimeout   = 10 * time.Second
	maxStatusHeaderBytes = 16 << 10
)

// ReadyFunc returns nil if the process accepts traffic, or the reason why it does not.
type ReadyFunc func() error

// NewStatusServer returns an HTTP server for /healthz, /readyz and /metrics. The caller has to start it.
func NewStatusServer(registry *Registry, ready ReadyFunc) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		registry.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return &http.Server{
		Handler: mux, ReadTimeout: statusReadTimeout, WriteTimeout: statusWriteTimeout, MaxHeaderBytes: maxStatusHeaderBytes,
	}
}
