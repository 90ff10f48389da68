package entry

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// exchange is one request of a caller and its response.
type exchange struct {
	e      *Entry
	w      http.ResponseWriter
	r      *http.Request
	id     string
	view   *fleetconfig.View
	caller identity
	body   []byte
	record *requestRecord
	// responseStarted reports whether the response has begun. After that, a failure can only be signalled by aborting
	// the connection.
	responseStarted func() bool
}

// ServeHTTP implements http.Handler for the caller port.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if hasPathPrefix(r.URL.Path, trainersPath) && e.trainers != nil {
		e.trainers.ServeHTTP(w, r)
		return
	}
	x := e.newExchange(w, r)
	ctx, span := e.tracer.Start(e.tracer.Extract(r.Context(), r.Header), "entry.request",
		attribute.String("request_id", x.id))
	defer span.End()
	err := x.serve(ctx)
	x.finish(err)
	if err != nil && x.responseStarted() {
		e.metrics.abortedResponses.Inc()
		// This makes net/http close the connection without ending the body, which is the only way to tell the caller
		// that a response that has begun is incomplete.
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	id := newID()
	w.Header().Set(HeaderRequestID, id)
	return &exchange{
		e: e, w: w, r: r, id: id, view: e.config.View(), responseStarted: func() bool { return false },
		record: &requestRecord{Explanation: Explanation{RequestID: id, At: e.now()}, startedAt: e.now()},
	}
}

// serve handles the request. It returns an *outcome.Refusal if the response was not sent completely.
func (x *exchange) serve(ctx context.Context) error {
	if x.e.leaving.Load() {
		x.w.Header().Set("Connection", "close")
		return entryLeaving()
	}
	if refusal := x.e.requests.acquire(); refusal != nil {
		return refusal
	}
	defer x.e.requests.release()
	if refusal := checkTarget(x.r); refusal != nil {
		return refusal
	}
	x.caller = x.e.identify(x.r.Header, x.view, x.e.now())
	x.record.Workspace = x.caller.workspace
	return x.dispatch(ctx)
}

// loadBody reads the body and refuses a request that contains its secret outside of the key headers.
func (x *exchange) loadBody() *outcome.Refusal {
	body, refusal := x.e.readBody(x.w, x.r)
	if refusal != nil {
		return refusal
	}
	if containsSecret(x.r, body, x.caller.secret) {
		x.e.metrics.leaks.Inc()
		return credentialLeak()
	}
	x.body = body
	return nil
}

// finish sends the refusal, if any, and records the log line, the metrics and the explanation.
func (x *exchange) finish(err error) {
	x.record.mu.Lock()
	defer x.record.mu.Unlock()
	record := &x.record.Explanation
	runOutcome := outcome.Ran
	if err != nil {
		refusal := asRefusal(err)
		runOutcome = refusal.Outcome
		record.Refusal = refusal.Kind
		record.Status = refusal.Status
		x.e.metrics.recordRefusal(record.Workspace, refusal.Kind)
		if !x.responseStarted() {
			writeRefusal(x.w, x.id, refusal)
		}
	}
	record.Outcome = runOutcome.String()
	record.Total = x.e.now().Sub(record.At)
	x.e.metrics.recordRequest(record.Workspace, runOutcome, record.Total)
	x.e.explanations.add(*record)
	x.log(err)
}

func (x *exchange) log(err error) {
	record := &x.record.Explanation
	event := x.e.log.Info()
	if err != nil {
		event = x.e.log.Warn().Str("refusal", string(record.Refusal)).Str("error", asRefusal(err).Message)
	}
	lastDecision := ""
	if n := len(record.Decisions); n > 0 {
		lastDecision = record.Decisions[n-1]
	}
	if n := len(record.Retries); n > 0 {
		event.Str("retry", string(record.Retries[n-1]))
	}
	event.Str("request", x.id).Str("workspace", record.Workspace).Str("destination", record.Destination).
		Str("upstream", record.Upstream).Int("status", record.Status).Str("outcome", record.Outcome).
		Int("attempts", len(record.Decisions)).Dur("queue_ms", record.QueueWait).
		Dur("first_byte_ms", record.FirstByte).Dur("total_ms", record.Total).Str("decision", lastDecision).Msg("request")
}

func (x *exchange) recordFirstByte() {
	wait := x.e.now().Sub(x.record.startedAt)
	x.e.metrics.firstByte.Update(wait.Seconds())
	x.record.mu.Lock()
	defer x.record.mu.Unlock()
	x.record.FirstByte = wait
}

// newResponseRelay returns a receiver that forwards the response to this caller.
func (x *exchange) newResponseRelay() *responseRelay {
	relay := &responseRelay{
		w: x.w, limit: x.e.settings.MaxAnswerBufferBytes, stallTimeout: x.e.settings.StallTimeout.D(), onFirstByte: x.recordFirstByte,
	}
	x.responseStarted = func() bool { return relay.started }
	return relay
}

// replay sends a stored response.
func (x *exchange) replay(status int, header http.Header, body []byte) {
	for name, values := range header {
		x.w.Header()[name] = values
	}
	x.w.Header().Set(dataplane.HeaderOutcome, outcome.Ran.String())
	x.record.Status = status
	x.w.WriteHeader(status)
	// A write error is ignored: a caller that has disconnected can retry with the same idempotency key.
	_, _ = x.w.Write(body)
}

// requestContext returns a context that ends at the deadline, when the caller disconnects, or when its key is withdrawn or
// cannot be confirmed any more. The returned function releases the context.
func (x *exchange) requestContext(ctx context.Context, deadline time.Time) (context.Context, func(), *outcome.Refusal) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, stop := context.WithDeadline(ctx, deadline)
	removeFromIndex := func() {}
	if x.caller.keyID != "" {
		removeFromIndex = x.e.keys.add(x.caller.keyID, cancel)
	}
	release := func() {
		removeFromIndex()
		stop()
		cancel(nil)
	}
	if refusal := x.e.recheckKey(x.caller, x.e.now()); refusal != nil {
		release()
		return nil, nil, refusal
	}
	return ctx, release, nil
}
