package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Limits and delays of a plain request, one that needs no model.
const (
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// hedgeFraction is the fraction of the target latency after which a retryable request is hedged: sent to a second
	// upstream as well.
	hedgeFraction = 0.4
	// minHedgeDelay covers a round trip between regions and the usual processing time.
	minHedgeDelay = 60 * time.Millisecond
	// queueWaitFraction is the fraction of the target latency for which a request may wait for a free upstream.
	queueWaitFraction = 0.2
	// busyRetryDelay is the delay between two attempts at busy upstreams.
	busyRetryDelay = 15 * time.Millisecond
	// maxSends limits the sends of one request, including those that an upstream refused without running it.
	maxSends = 12
)

// forward sends a plain request to upstreams until one responds.
func (g *Gateway) forward(ctx context.Context, r *call.Request, auth *authorization) (*call.Response, error) {
	f := newPlainRequest(g, r, auth)
	f.inUse = ctx
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel() // cancels hedged sends that are still running
	return f.run(ctx)
}

// plainRequest is the state of one plain request while it is forwarded.
type plainRequest struct {
	g       *Gateway
	request *call.Request
	// template is the request to be sent; each send adds its upstream and the time that is left.
	template *upstreamcall.Request
	auth     *authorization
	service  string
	deadline time.Time
	// inUse ends once the response was written to the caller.
	inUse context.Context
	// waitUntil is until when the request may wait for a free upstream.
	waitUntil time.Time
	// tried holds the upstreams that may have begun to run the request, and refused those that certainly have not.
	tried, refused map[string]bool
	// openSends holds the upstreams of the sends that have no result yet.
	openSends      map[string]upstreams.Entry
	sends, pending int
	usageCounted   bool
	hedged         bool
	// action is the quarantine decision on the request. broken holds its runs under which an upstream may have ended.
	action  quarantine.Action
	broken  []brokenRun
	results chan sendResult
	// slot holds the upstreams for the next run after a broken one, and slotStart is when that run may start.
	slot      quarantine.IsolationSlot
	slotStart time.Time
	// lastResponse is a server error, returned to the caller if no later send succeeds.
	lastResponse *call.Response
	lastFailure  *upstreamcall.Failure
	// lastRefusal is why no upstream could be chosen for the latest send.
	lastRefusal error
}

// sendResult is the result of one send. Either response or failure is set.
type sendResult struct {
	upstream upstreams.Entry
	response *call.Response
	failure  *upstreamcall.Failure
	// signature is the upstream's signature of a successful response; empty for any other.
	signature string
	took      time.Duration
	// broken is set if the upstream may have ended during the request.
	broken brokenRun
}

func newPlainRequest(g *Gateway, r *call.Request, auth *authorization) *plainRequest {
	timeout := defaultTimeout
	if auth.route.Timeout > 0 {
		timeout = auth.route.Timeout
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	return &plainRequest{
		g: g, request: r, auth: auth, template: &upstreamcall.Request{
			ID: r.ID, Host: r.Host, Method: r.Method, Target: r.Target, Header: r.Header, Body: r.Body,
			Workspace: auth.workspaceName(), Priority: upstreamcall.NoPriority,
		},
		deadline:  r.Received.Add(timeout),
		waitUntil: r.Received.Add(time.Duration(queueWaitFraction * float64(auth.route.TargetLatency))),
		tried:     map[string]bool{}, refused: map[string]bool{}, openSends: map[string]upstreams.Entry{}, results: make(chan sendResult, maxSends),
	}
}

func (f *plainRequest) run(ctx context.Context) (*call.Response, error) {
	if err := f.setService(); err != nil {
		return nil, err
	}
	var err error
	if f.action, err = f.g.checkQuarantine(ctx, f.template); err != nil {
		return nil, err
	}
	hedgeTimer := time.NewTimer(f.hedgeDelay())
	defer hedgeTimer.Stop()
	if err := f.startSend(ctx); err != nil {
		return nil, err
	}
	for {
		select {
		case result := <-f.results:
			f.pending--
			if response, err, done := f.handleResult(ctx, result); done {
				return response, err
			}
		case <-hedgeTimer.C:
			f.startHedge(ctx)
		case <-ctx.Done():
			return nil, f.timeoutError(ctx)
		}
	}
}

// isRetryable reports whether the request may be sent again although it may have run.
func (f *plainRequest) isRetryable() bool {
	return f.auth.route.Retryable() && len(f.tried) < f.auth.route.MaxAttempts && f.action != quarantine.Probe
}

func (f *plainRequest) hedgeDelay() time.Duration {
	return max(minHedgeDelay, time.Duration(hedgeFraction*float64(f.auth.route.TargetLatency)))
}

// startHedge sends the request to a second upstream, once, if the hedging budget allows it. Crash suspects are not
// hedged.
func (f *plainRequest) startHedge(ctx context.Context) {
	if f.hedged || f.pending == 0 || !f.isRetryable() || f.action != quarantine.Run {
		return
	}
	f.hedged = true
	f.g.mu.Lock()
	allowed := f.g.hedges.Spend(time.Now())
	f.g.mu.Unlock()
	if !allowed {
		return
	}
	f.g.metrics.hedges.Inc()
	_ = f.startSend(ctx) // without a second upstream, the first send goes on alone
}

// startSend chooses an upstream and starts a send, whose result goes to f.results.
func (f *plainRequest) startSend(ctx context.Context) error {
	if f.sends == 0 {
		f.g.mu.Lock()
		f.g.hedges.AddFirstAttempt(time.Now())
		f.g.mu.Unlock()
	}
	err := f.g.checkStop(f.deadline, time.Now())
	var slot reservedSlot
	if err == nil {
		slot, err = f.chooseUpstream(ctx)
	}
	if err != nil {
		f.lastRefusal = err
		return err
	}
	u := slot.upstream
	f.sends++
	f.pending++
	f.tried[u.ID] = true
	f.openSends[u.ID] = u
	req := *f.template
	req.TimeLeft, req.Upstream = time.Until(f.deadline), u
	isolated := f.action != quarantine.Run
	go func() {
		result := sendResult{upstream: u, failure: panicFailure()}
		f.g.recoverPanic("send", func() { result = f.g.sendBuffered(ctx, f.inUse, &req, slot.attempt, f.auth.route.Name) })
		if isolated {
			f.g.releaseIsolated(u.ID)
		}
		f.results <- result
	}()
	return nil
}

// handleResult processes the result of one send. It returns true with the final response or error, and false while more
// results are expected.
func (f *plainRequest) handleResult(ctx context.Context, r sendResult) (*call.Response, error, bool) {
	delete(f.openSends, r.upstream.ID)
	if r.failure != nil {
		f.logFailure(r)
	}
	if r.failure == nil {
		r.response.Upstream, r.response.Sends = r.upstream.ID, f.sends
		f.countUsage()
		if r.response.Status < http.StatusInternalServerError {
			return r.response, nil, true
		}
		f.lastResponse = r.response
	} else {
		f.lastFailure = r.failure
		if f.addBrokenRun(r.broken); len(f.broken) > 0 {
			f.isolate(r.upstream)
		}
		if r.failure.Outcome == outcome.NotRun {
			delete(f.tried, r.upstream.ID)
			f.refused[r.upstream.ID] = true
		} else {
			f.countUsage()
		}
	}
	if ctx.Err() != nil {
		return nil, f.timeoutError(ctx), true
	}
	if f.mayRetry(ctx, r) && f.sends < maxSends && f.startSend(ctx) == nil {
		return nil, nil, false
	}
	if f.pending > 0 {
		return nil, nil, false
	}
	if f.retryBusyUpstreams(ctx, r) {
		return nil, nil, false
	}
	response, err := f.finalResponse()
	return response, err, true
}

// logFailure logs a send that got no response.
func (f *plainRequest) logFailure(r sendResult) {
	f.g.opts.Log.Info().Str("request", f.request.ID).Str("upstream", r.upstream.ID).Str("reason", string(r.failure.Reason)).
		Str("ran", r.failure.Outcome.String()).Str("fingerprint", r.broken.fingerprint).Dur("took_ms", r.took).
		AnErr("error", r.failure.Err).Msg("send failed")
}

// mayRetry reports whether the request may be sent again after a result.
func (f *plainRequest) mayRetry(ctx context.Context, r sendResult) bool {
	if r.failure != nil && r.failure.Outcome == outcome.NotRun {
		return len(f.tried) < f.auth.route.MaxAttempts
	}
	return f.isRetryable() && f.g.mayRunAgain(ctx, f.broken)
}

// addBrokenRun records a run at an upstream that may have ended.
func (f *plainRequest) addBrokenRun(run brokenRun) {
	if run.fingerprint != "" {
		f.broken = append(f.broken, run)
	}
}

// retryBusyUpstreams tries the busy upstreams again if waitUntil has not passed. It reports whether a send was started.
func (f *plainRequest) retryBusyUpstreams(ctx context.Context, r sendResult) bool {
	if r.failure == nil || r.failure.Outcome != outcome.NotRun || f.sends >= maxSends || time.Now().After(f.waitUntil) {
		return false
	}
	sleep(ctx, busyRetryDelay)
	clear(f.refused)
	return f.startSend(ctx) == nil
}

// countUsage counts the request once for the usage of its workspace.
func (f *plainRequest) countUsage() {
	if f.usageCounted || f.auth.workspace == nil {
		return
	}
	f.usageCounted = true
	f.g.countUsage(f.auth.workspace.Name)
}
