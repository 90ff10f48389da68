package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/usage"
)

// relayBufferBytes is the size of the buffer between upstream and entry.
const relayBufferBytes = 32 << 10

// errIncomplete means that an answer stopped without proof that it is whole.
var errIncomplete = errors.New("the answer ended without its last event")

// exchange is one request that holds a slot.
type exchange struct {
	agent   *Agent
	call    call
	w       http.ResponseWriter
	started time.Time

	versionsBefore versionSnapshot
	labels         *labelReader
	status         int
	bytes          int64
	// pendingTokens tokens are counted as pending; generatedTokens ones have been counted as generated.
	pendingTokens, generatedTokens int64
}

func (e *exchange) run(ctx context.Context, callerHeader http.Header, body []byte) {
	a := e.agent
	e.versionsBefore = a.versions.snapshot()
	if a.settings.Kind == fleetconfig.UpstreamEngine {
		e.pendingTokens = expectedTokens(body)
	}
	a.meter.addPending(e.pendingTokens)
	defer func() { a.meter.addPending(-e.pendingTokens) }()
	header := newUpstreamHeader(e.call, callerHeader)
	a.tracer.Inject(ctx, header)
	incarnation := a.health.incarnation()
	resp, sent, err := a.upstream.send(ctx, e.call, header, body)
	if err != nil {
		if sent && ctx.Err() == nil {
			a.checkDeath(e.call.fingerprint, incarnation)
		}
		a.refuse(e.w, e.call, e.started, sendErrorRefusal(err, sent))
		return
	}
	defer resp.Body.Close()
	e.writeResponseHeader(resp)
	err = e.relayBody(resp)
	if err == nil {
		err = e.checkComplete(resp)
	}
	if err != nil && ctx.Err() == nil {
		a.checkDeath(e.call.fingerprint, incarnation)
	}
	e.finish(ctx, err)
}

// writeResponseHeader sends the head of the answer.
func (e *exchange) writeResponseHeader(resp *http.Response) {
	e.status = resp.StatusCode
	h := e.w.Header()
	copyHeaders(h, resp.Header, responseHeaders)
	e.agent.setLoad(h)
	h.Set("Trailer", dataplane.TrailerComplete+", "+dataplane.TrailerResult)
	e.labels = newLabelReader(resp.Header.Get("Content-Type"))
	if !allowsTrailers(resp.StatusCode) {
		// Trailers need a body, so they are written as headers at the end.
		h.Del("Trailer")
		return
	}
	e.w.WriteHeader(resp.StatusCode)
	_ = http.NewResponseController(e.w).Flush()
}

func allowsTrailers(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// relayBody passes the body on and flushes every part, since a caller waits for each token.
func (e *exchange) relayBody(resp *http.Response) error {
	control := http.NewResponseController(e.w)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			e.observe(buffer[:n])
			if _, werr := e.w.Write(buffer[:n]); werr != nil {
				return werr
			}
			if ferr := control.Flush(); ferr != nil {
				return ferr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (e *exchange) observe(p []byte) {
	e.bytes += int64(len(p))
	if e.agent.settings.Kind != fleetconfig.UpstreamEngine {
		return
	}
	e.labels.write(p)
	newTokens := int64(e.labels.tokens) - e.generatedTokens
	e.countTokens(newTokens)
}

func (e *exchange) countTokens(newTokens int64) {
	if newTokens <= 0 {
		return
	}
	e.generatedTokens += newTokens
	e.agent.meter.addGenerated(newTokens, time.Now())
	reduce := min(newTokens, e.pendingTokens)
	e.pendingTokens -= reduce
	e.agent.meter.addPending(-reduce)
}

// checkComplete tells a whole answer from one that was cut off where the framing cannot show it: an event stream needs its
// last event, and a body that only the end of the connection delimits proves nothing.
func (e *exchange) checkComplete(resp *http.Response) error {
	if e.agent.settings.Kind == fleetconfig.UpstreamEngine {
		e.labels.finish()
		e.countTokens(int64(e.labels.tokens) - e.generatedTokens)
		if e.labels.complete {
			return nil
		}
		if e.labels.stream {
			return errIncomplete
		}
	}
	chunked := strings.Join(resp.TransferEncoding, "") == "chunked"
	bodiless := e.call.method == http.MethodHead || !allowsTrailers(resp.StatusCode)
	if resp.ContentLength < 0 && !chunked && !bodiless {
		return errIncomplete
	}
	return nil
}

// finish counts the request and ends the answer with its trailers. An answer that broke gets no complete marker.
func (e *exchange) finish(ctx context.Context, err error) {
	a := e.agent
	result := dataplane.Result{
		Upstream: a.settings.Name, Incarnation: a.incarnation, DiscardReason: e.discardReason(ctx, err),
	}
	if a.settings.Kind == fleetconfig.UpstreamEngine {
		result.Spans = e.labels.spans
		result.PromptTokens, result.CompletionTokens = e.labels.tokenCounts()
	}
	result.UsageSeq = a.recorder.Add(usage.Record{
		RequestID: e.call.requestID, Workspace: e.call.workspace, Policy: e.call.policy,
		PromptTokens: result.PromptTokens, CompletionTokens: result.CompletionTokens, FinishedAt: time.Now(),
	})
	a.metrics.promptTokens.AddInt64(result.PromptTokens)
	a.metrics.completionTokens.AddInt64(result.CompletionTokens)
	a.metrics.countRequest(outcome.Ran, err == nil)
	if e.call.sample && result.DiscardReason != "" {
		a.metrics.countDiscarded(result.DiscardReason)
	}
	e.log(result, err)
	e.writeTrailers(result, err)
}

func (e *exchange) writeTrailers(result dataplane.Result, err error) {
	if data, merr := json.Marshal(result); merr == nil {
		e.w.Header().Set(dataplane.TrailerResult, string(data))
	}
	if err == nil {
		e.w.Header().Set(dataplane.TrailerComplete, "true")
	}
	if !allowsTrailers(e.status) {
		e.w.WriteHeader(e.status)
	}
}

// discardReason returns why the answer must not become a sample; empty for a good one and for plain services.
func (e *exchange) discardReason(ctx context.Context, err error) string {
	if e.agent.settings.Kind != fleetconfig.UpstreamEngine {
		return ""
	}
	if err != nil {
		return discardIncomplete
	}
	if e.status != http.StatusOK {
		return discardStatus
	}
	if e.call.sample {
		e.agent.versions.waitForSwap(ctx)
	}
	if reason := e.agent.versions.discardReasonSince(e.versionsBefore); reason != "" {
		return reason
	}
	return e.labels.discardReason(e.versionsBefore.startCount)
}

func (e *exchange) log(result dataplane.Result, err error) {
	event := e.agent.logger.Info()
	if err != nil {
		event = e.agent.logger.Warn().Err(err)
	}
	event.Str("request", e.call.requestID).Str("attempt", e.call.attempt).Str("workspace", e.call.workspace).
		Str("policy", e.call.policy).Int("status", e.status).Bool("complete", err == nil).Int64("bytes", e.bytes).
		Int64("prompt_tokens", result.PromptTokens).Int64("completion_tokens", result.CompletionTokens).
		Int("spans", len(result.Spans)).Str("discard", result.DiscardReason).Int64("usage_seq", result.UsageSeq).
		Dur("duration_ms", time.Since(e.started)).Msg("request done")
}
