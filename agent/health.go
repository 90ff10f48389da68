package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/httpstatus"
)

// Limits on the health check.
const (
	probeTimeout = 2 * time.Second
	// maxFailedProbes is the number of consecutive failed probes that make the upstream unhealthy. A failure to connect
	// does so at once.
	maxFailedProbes = 3
	maxHealthBytes  = 64 << 10
)

// health tracks whether the upstream is alive and identifies its current process run.
type health struct {
	mu         sync.Mutex
	alive      bool
	failures   int
	startCount int64
	deaths     int64
}

// incarnation identifies the process run of the upstream: its start count, or the number of observed deaths if it
// reports none.
func (h *health) incarnation() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnationLocked()
}

func (h *health) incarnationLocked() int64 {
	if h.startCount != 0 {
		return h.startCount
	}
	return h.deaths
}

func (h *health) healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.alive
}

// recordSuccess records a successful check and reports whether the upstream became healthy by it.
func (h *health) recordSuccess(startCount int64) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed = !h.alive
	h.alive = true
	h.failures = 0
	h.startCount = startCount
	return changed
}

// recordFailure records a failed check and reports whether the upstream became unhealthy by it.
func (h *health) recordFailure(refused bool) (died bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	if !h.alive || (!refused && h.failures < maxFailedProbes) {
		return false
	}
	h.alive = false
	h.deaths++
	return true
}

// healthBody is the optional response body of a service's health check.
type healthBody struct {
	StartCount int64 `json:"start_count"`
}

// probe checks the health of the upstream and updates the versions of an engine.
func (a *Agent) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	epoch := a.versions.beginProbe()
	status, err := a.queryUpstream(ctx)
	if err != nil {
		a.handleProbeError(err)
		return err
	}
	if a.health.recordSuccess(status.StartCount) {
		a.logger.Info().Int64("start_count", status.StartCount).Msg("upstream alive")
		a.triggerHeartbeat()
	}
	if a.versions.finishProbe(epoch, status) {
		a.logger.Warn().Int64("start_count", status.StartCount).Msg("upstream restarted")
	}
	// Requests are admitted only when the incarnation of the upstream is known, because deaths are counted by it.
	a.admission.markReady()
	return nil
}

func (a *Agent) handleProbeError(err error) {
	var op *net.OpError
	refused := errors.As(err, &op) && op.Op == "dial"
	if !a.health.recordFailure(refused) {
		return
	}
	a.versions.invalidate(discardNoProbe)
	a.logger.Warn().Err(err).Msg("upstream dead")
	a.triggerHeartbeat()
}

func (a *Agent) queryUpstream(ctx context.Context) (engineapi.Status, error) {
	if a.settings.Kind == fleetconfig.UpstreamEngine {
		return a.engine.probe(ctx)
	}
	return a.queryService(ctx)
}

func (a *Agent) queryService(ctx context.Context) (engineapi.Status, error) {
	var status engineapi.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, a.upstream.base+a.settings.HealthPath, nil)
	if err != nil {
		return status, err
	}
	resp, err := a.engine.client.Do(req)
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	if !httpstatus.IsSuccess(resp.StatusCode) {
		return status, fmt.Errorf("health check %s: status %d", a.settings.HealthPath, resp.StatusCode)
	}
	var body healthBody
	if data, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBytes)); err == nil && json.Unmarshal(data, &body) == nil {
		status.StartCount = body.StartCount
	}
	return status, nil
}

// checkDeath marks a request whose connection broke as a crash suspect if the upstream died. The probe starts after the
// connection broke, so an upstream that responds under the same incarnation did not die.
func (a *Agent) checkDeath(fingerprint string, incarnation int64) {
	err := a.probe(context.Background())
	if err == nil && a.health.incarnation() == incarnation {
		return
	}
	if fingerprint == "" {
		return
	}
	a.suspects.recordDeath(fingerprint, incarnation, time.Now())
	a.logger.Warn().Str("fingerprint", fingerprint).Int64("start_count", incarnation).Msg("crash suspect")
	a.triggerHeartbeat()
}

func (a *Agent) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(a.settings.ProbeInterval.D())
	defer ticker.Stop()
	for {
		_ = a.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
