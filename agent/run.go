package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/outcome"
)

// Limits on one request.
const (
	// defaultExpectedTokens is the estimated completion length of a request without max_tokens.
	defaultExpectedTokens = 256
	// bodyTimeout limits the time to read a request body.
	bodyTimeout = 30 * time.Second
	// writeGrace is added to the deadline of writes. The deadline frees the slot of a request whose entry stops reading.
	writeGrace = 5 * time.Second
)

// ServeHTTP runs one forwarded request on the upstream.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	c, err := parseCall(r.Header, a.settings.Kind)
	if err != nil {
		a.refuse(w, c, start, err)
		return
	}
	ctx, span := a.tracer.Start(a.tracer.Extract(r.Context(), r.Header), "agent.run",
		attribute.String("request_id", c.requestID), attribute.String("policy", c.policy))
	defer span.End()
	deadline := start.Add(c.timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(start.Add(min(c.timeout, bodyTimeout)))
	_ = controller.SetWriteDeadline(deadline.Add(writeGrace))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	body, err := a.checkAndReadBody(ctx, w, r, c)
	if err != nil {
		a.refuse(w, c, start, err)
		return
	}
	_ = controller.SetReadDeadline(time.Time{})
	slot := &slotRequest{priority: c.priority, exclusive: c.exclusive}
	if err := a.admission.acquire(ctx, slot); err != nil {
		a.refuse(w, c, start, err)
		return
	}
	defer a.admission.release(slot)
	e := &exchange{agent: a, call: c, w: w, started: start}
	e.run(ctx, r.Header, body)
}

// checkAndReadBody makes the checks that need no slot and reads the whole body, so that the upstream never receives
// only a part of it.
func (a *Agent) checkAndReadBody(ctx context.Context, w http.ResponseWriter, r *http.Request, c call) ([]byte, error) {
	if c.timeout <= 0 {
		return nil, deadlineRefusal("the deadline has passed")
	}
	if err := a.suspects.check(c.fingerprint, c.exclusive, time.Now()); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.settings.MaxBodyBytes))
	if err != nil {
		return nil, bodyRefusal(err, a.settings.MaxBodyBytes)
	}
	if ctx.Err() != nil {
		return nil, endedRefusal(ctx, "while the body was read")
	}
	return body, nil
}

func bodyRefusal(err error, limit int64) *outcome.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &outcome.Refusal{
			Kind: outcome.KindPayloadTooLarge, Outcome: outcome.NotRun, Status: http.StatusRequestEntityTooLarge,
			Message: fmt.Sprintf("the body is larger than %d bytes", limit), Remedy: "send a smaller request",
		}
	}
	return &outcome.Refusal{
		Kind: outcome.KindInvalid, Outcome: outcome.NotRun, Status: http.StatusBadRequest,
		Message: "the body could not be read", Remedy: "repeat the request", Err: err,
	}
}

// refuse responds with the refusal that err describes, and logs the request.
func (a *Agent) refuse(w http.ResponseWriter, c call, start time.Time, err error) {
	refusal, ok := outcome.AsRefusal(err)
	if !ok {
		refusal = &outcome.Refusal{
			Kind: outcome.KindUpstreamFailed, Outcome: outcome.MayHaveRun, Status: http.StatusBadGateway, Message: err.Error(),
		}
	}
	a.metrics.countRequest(refusal.Outcome, false)
	a.metrics.countRefusal(refusal.Kind)
	a.setLoad(w.Header())
	writeRefusal(w, refusal)
	event := a.logger.Info()
	if refusal.Err != nil {
		event = event.AnErr("cause", refusal.Err)
	}
	event.Str("request", c.requestID).Str("workspace", c.workspace).Str("policy", c.policy).
		Str("kind", string(refusal.Kind)).Stringer("outcome", refusal.Outcome).Str("problem", refusal.Message).
		Dur("duration_ms", time.Since(start)).Msg("request refused")
}

func (a *Agent) setLoad(h http.Header) {
	if data, err := json.Marshal(a.load()); err == nil {
		h.Set(dataplane.HeaderLoad, string(data))
	}
}

// expectedTokens estimates the completion length of a chat request by its max_tokens.
func expectedTokens(body []byte) int64 {
	var req struct {
		MaxTokens int64 `json:"max_tokens"`
	}
	if json.Unmarshal(body, &req) != nil || req.MaxTokens <= 0 {
		return defaultExpectedTokens
	}
	return req.MaxTokens
}
