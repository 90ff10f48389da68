package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// Limits of the control interface.
const (
	maxControlBytes = 64 << 10
	maxWeightBytes  = 64 << 20
	fetchTimeout    = 10 * time.Minute
)

var fetchClient = &http.Client{Timeout: fetchTimeout}

func (e *Engine) routeControl(mux *http.ServeMux) {
	mux.HandleFunc("POST "+engineapi.PathStage, func(w http.ResponseWriter, r *http.Request) { e.serveOrder(w, r, e.stage) })
	mux.HandleFunc("POST "+engineapi.PathActivate, func(w http.ResponseWriter, r *http.Request) { e.serveOrder(w, r, e.activate) })
	mux.HandleFunc("GET "+engineapi.PathStatus, e.serveStatus)
	mux.HandleFunc("GET "+engineapi.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("GET "+engineapi.PathWeights+"{policy}/{version}", e.serveWeights)
}

// serveOrder validates an order and its fencing term, executes it and responds with the resulting status.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request, execute func(context.Context, engineapi.Order) error) {
	var o engineapi.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", "order: "+err.Error())
		return
	}
	if o.Policy != e.settings.Policy || o.Version <= 0 {
		writeError(w, http.StatusBadRequest, "invalid_request",
			fmt.Sprintf("policy %q version %d cannot be loaded; this engine serves %q", o.Policy, o.Version, e.settings.Policy))
		return
	}
	checkTerm := e.settings.CheckFencing && !e.faults.get().IgnoreFencing
	if highest, ok := e.weights.acceptTerm(o.Term, checkTerm); !ok {
		writeError(w, http.StatusConflict, "fenced", fmt.Sprintf("term %d is older than %d", o.Term, highest))
		return
	}
	if err := execute(r.Context(), o); err != nil {
		e.logger.Warn().Int64("version", o.Version).Int64("term", o.Term).Err(err).Msg("order failed")
		writeError(w, http.StatusInternalServerError, "order_failed", err.Error())
		return
	}
	e.logger.Info().Int64("version", o.Version).Int64("term", o.Term).Str("path", r.URL.Path).Msg("order done")
	writeJSON(w, http.StatusOK, e.currentStatus())
}

// stage downloads the weights of a version, unless the version is staged already.
func (e *Engine) stage(ctx context.Context, o engineapi.Order) error {
	if _, ok := e.weights.stagedContent(o.Version); ok {
		return nil
	}
	content, err := fetchWeights(ctx, o)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(e.settings.StageTime.D()):
	}
	e.weights.addStaged(o.Version, content)
	return nil
}

// fetchWeights downloads the weights from the first source that succeeds. Content is generated for an order without
// sources.
func fetchWeights(ctx context.Context, o engineapi.Order) (blob, error) {
	if len(o.Sources) == 0 {
		return defaultBlob(o.Policy, o.Version), nil
	}
	var errs []error
	for _, source := range o.Sources {
		content, err := fetchFrom(ctx, source)
		if err == nil {
			return content, nil
		}
		errs = append(errs, err)
	}
	return nil, fmt.Errorf("no source has the weights: %w", errors.Join(errs...))
}

func fetchFrom(ctx context.Context, source string) (blob, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return nil, err
	}
	resp, err := fetchClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d", source, resp.StatusCode)
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxWeightBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxWeightBytes {
		return nil, fmt.Errorf("%s: more than %d bytes", source, maxWeightBytes)
	}
	return content, nil
}

func (e *Engine) activate(_ context.Context, o engineapi.Order) error {
	if _, ok := e.weights.stagedContent(o.Version); !ok {
		return fmt.Errorf("version %d is not staged; stage it first", o.Version)
	}
	if !e.weights.activate(o.Version, e.settings.ActivateTime.D(), e.faults.consumeSwapFailure()) {
		return errors.New("the swap failed partway; probe the status to determine the active version")
	}
	return nil
}

// serveStatus returns the lagged status, or with ?probe=true the current one after probing the weights.
func (e *Engine) serveStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("probe") != "true" {
		writeJSON(w, http.StatusOK, e.status.get(time.Now()))
		return
	}
	e.weights.probe()
	writeJSON(w, http.StatusOK, e.currentStatus())
}

// currentStatus returns the status without lag.
func (e *Engine) currentStatus() engineapi.Status {
	running, queued := e.slots.counts()
	e.weights.mu.Lock()
	defer e.weights.mu.Unlock()
	return engineapi.Status{
		Policy: e.weights.policy, ActiveVersion: e.weights.active, StagedVersions: e.weights.stagedVersions(),
		StartCount: e.weights.startCount, Running: running, Queued: queued, Slots: e.settings.Slots,
		HighestTerm: e.weights.highestTerm,
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	var after int64
	if text := r.URL.Query().Get("after"); text != "" {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "invalid_request", "after is not a number")
			return
		}
		after = value
	}
	writeJSON(w, http.StatusOK, e.cache.eventsSince(after, time.Now()))
}

func (e *Engine) serveWeights(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil || r.PathValue("policy") != e.settings.Policy {
		writeError(w, http.StatusNotFound, "not_found", "this engine has no such weights")
		return
	}
	content, ok := e.weights.stagedContent(version)
	if !ok {
		writeError(w, http.StatusNotFound, "not_found", "this engine has not staged the version")
		return
	}
	http.ServeContent(w, r, "weights.bin", time.Time{}, bytes.NewReader(content))
}

// defaultBlob returns the content of a version that is not downloaded from a source.
func defaultBlob(policy string, version int64) blob {
	return blob(fmt.Sprintf("weights %s %d", policy, version))
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	writeJSON(w, status, engineapi.Error{Error: engineapi.ErrorDetail{Type: kind, Message: message}})
}
