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

// relayBufferBytes is the size of the buffer that response bodies are copied through.
const relayBufferBytes = 32 << 10

// errIncomplete means that a response ended without evidence that it is complete.
var errIncomplete = errors.New("the response ended without its final event or a length")

// exchange sends one request that holds a slot to the upstream, and relays the response.
type exchange struct {
	agent   *Agent
	call    call
	w       http.ResponseWriter
	started time.Time

	versionsBefore versionSnapshot
	labels         *labelReader
	status         int
	bytes          int64
	// pendingTokens and generatedTokens are what this request has added to the load meter.
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

// writeResponseHeader sends the status and headers of the response.
func (e *exchange) writeResponseHeader(resp *http.Response) {
	e.status = resp.StatusCode
	h := e.w.Header()
	copyHeaders(h, resp.Header, responseHeaders)
	e.agent.setLoad(h)
	h.Set("Trailer", dataplane.TrailerComplete+", "+dataplane.TrailerResult)
	e.labels = newLabelReader(resp.Header.Get("Content-Type"))
	if !allowsTrailers(resp.StatusCode) {
		// Without a body there are no trailers, so writeTrailers sends them as headers.
		h.Del("Trailer")
		return
	}
	e.w.WriteHeader(resp.StatusCode)
	_ = http.NewResponseController(e.w).Flush()
}

func allowsTrailers(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// relayBody copies the body and flushes after every read, so that callers get each token without delay.
func (e *exchange) relayBody(resp *http.Response) error {
	controller := http.NewResponseController(e.w)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			e.observe(buffer[:n])
			if _, werr := e.w.Write(buffer[:n]); werr != nil {
				return werr
			}
			if ferr := controller.Flush(); ferr != nil {
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
	consumed := min(newTokens, e.pendingTokens)
	e.pendingTokens -= consumed
	e.agent.meter.addPending(-consumed)
}

// checkComplete detects truncated responses that the framing does not reveal. An event stream must have its final
// event, and a body that is delimited only by the end of the connection is never known to be complete.
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

// finish records usage and metrics and ends the response with its trailers. A broken response gets no complete trailer.
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

// discardReason returns why the response must not become a sample, or "". It is always empty for plain services.
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
