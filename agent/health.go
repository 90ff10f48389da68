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
)

// Limits of the health check.
const (
	probeTimeout = 2 * time.Second
	// slowProbes without an answer make the upstream unhealthy; a refused connection does so at once.
	slowProbes     = 3
	maxHealthBytes = 64 << 10
)

// health is whether the upstream lives, and which run of it.
type health struct {
	mu      sync.Mutex
	alive   bool
	misses  int
	starts  int64
	crashes int64
}

// incarnation names the run of the upstream. Without a start count it is the number of deaths seen.
func (h *health) incarnation() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.name()
}

func (h *health) name() int64 {
	if h.starts != 0 {
		return h.starts
	}
	return h.crashes
}

func (h *health) healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.alive
}

// answered takes a successful check.
func (h *health) answered(startCount int64) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed = !h.alive
	h.alive = true
	h.misses = 0
	h.starts = startCount
	return changed
}

// failed takes a failed check and reports whether the upstream became unhealthy by it.
func (h *health) failed(refused bool) (died bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.misses++
	if !h.alive || (!refused && h.misses < slowProbes) {
		return false
	}
	h.alive = false
	h.crashes++
	return true
}

// upstreamHealth is the optional body of a service's health check.
type upstreamHealth struct {
	StartCount int64 `json:"start_count"`
}

// probe checks the upstream and learns the versions of an engine.
func (a *Agent) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	changes := a.versions.probeBegins()
	status, err := a.askUpstream(ctx)
	if err != nil {
		a.probeFailed(err)
		return err
	}
	if a.health.answered(status.StartCount) {
		a.logger.Info().Int64("start_count", status.StartCount).Msg("upstream alive")
		a.heartbeatSoon()
	}
	if a.versions.probeEnds(changes, status) {
		a.logger.Warn().Int64("start_count", status.StartCount).Msg("upstream restarted")
	}
	// Work is taken only when the run of the upstream is known, because a death is counted by it.
	a.admission.ready()
	return nil
}

func (a *Agent) probeFailed(err error) {
	var op *net.OpError
	refused := errors.As(err, &op) && op.Op == "dial"
	if !a.health.failed(refused) {
		return
	}
	a.versions.doubt(discardNoProbe)
	a.logger.Warn().Err(err).Msg("upstream dead")
	a.heartbeatSoon()
}

func (a *Agent) askUpstream(ctx context.Context) (engineapi.Status, error) {
	if a.settings.Kind == fleetconfig.UpstreamEngine {
		return a.engine.probe(ctx)
	}
	return a.askService(ctx)
}

func (a *Agent) askService(ctx context.Context) (engineapi.Status, error) {
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
	if resp.StatusCode >= http.StatusMultipleChoices {
		return status, fmt.Errorf("health check %s: status %d", a.settings.HealthPath, resp.StatusCode)
	}
	var body upstreamHealth
	if data, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBytes)); err == nil && json.Unmarshal(data, &body) == nil {
		status.StartCount = body.StartCount
	}
	return status, nil
}

// checkDeath makes a request whose connection broke a suspect if the upstream died. The check starts after the break,
// so an upstream that lives under the same start count did not die.
func (a *Agent) checkDeath(fingerprint string, incarnation int64) {
	err := a.probe(context.Background())
	if err == nil && a.health.incarnation() == incarnation {
		return
	}
	if fingerprint == "" {
		return
	}
	a.suspects.died(fingerprint, incarnation, time.Now())
	a.logger.Warn().Str("fingerprint", fingerprint).Int64("start_count", incarnation).Msg("crash suspect")
	a.heartbeatSoon()
}

func (a *Agent) runProbes(ctx context.Context) {
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
