package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Bounds of a plain request.
const (
	// defaultTimeout holds where neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// hedgeShare is the part of the target latency after which a repeatable request is sent to a second upstream.
	hedgeShare = 0.4
	// minHedgeDelay covers a round trip between regions and usual work.
	minHedgeDelay = 60 * time.Millisecond
	// queueWaitShare is the part of the target latency for which a request may wait for room at an upstream.
	queueWaitShare = 0.2
	// busyRetryDelay separates two tries at busy upstreams.
	busyRetryDelay = 15 * time.Millisecond
	// maxSends bounds the sends of one request, those that were refused as not run included.
	maxSends = 12
)

// forward sends a plain request to upstreams until one answers it.
func (g *Gateway) forward(ctx context.Context, r *call.Request, t *authorization) (*call.Answer, error) {
	f := newPlainRequest(g, r, t)
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel() // ends the sends that lost
	return f.run(ctx)
}

// plainRequest is one plain request on its way.
type plainRequest struct {
	g       *Gateway
	request *call.Request
	// template is the request as it goes to any upstream.
	template *upstreamcall.Request
	auth     *authorization
	service  string
	deadline time.Time
	// waitUntil bounds how long the request waits for room.
	waitUntil time.Time
	// tried holds the upstreams that may have begun to run the request, and refused those that surely have not.
	tried, refused map[string]bool
	// openSends holds the sends without a result.
	openSends      map[string]upstreams.Entry
	sends, pending int
	usageCounted   bool
	hedged         bool
	// action says how the request may run, and broken holds the runs under which an upstream may have ended.
	action  quarantine.Action
	broken  []brokenRun
	results chan sendResult
	// lastAnswer is the failed answer that the caller gets when nothing better comes.
	lastAnswer  *call.Answer
	lastFailure *upstreamcall.Failure
}

type sendResult struct {
	upstream upstreams.Entry
	answer   *call.Answer
	failure  *upstreamcall.Failure
	// signature is the upstream's signature of the answer.
	signature string
	took      time.Duration
	// broken is set where the upstream may have ended under the request.
	broken brokenRun
}

func newPlainRequest(g *Gateway, r *call.Request, t *authorization) *plainRequest {
	timeout := defaultTimeout
	if t.route.Timeout > 0 {
		timeout = t.route.Timeout
	}
	if r.Patience > 0 {
		timeout = min(timeout, r.Patience)
	}
	return &plainRequest{
		g: g, request: r, auth: t, template: &upstreamcall.Request{
			ID: r.ID, Host: r.Host, Method: r.Method, Target: r.Target, Header: r.Header, Body: r.Body,
			Workspace: t.workspaceName(), Priority: upstreamcall.NoPriority,
		},
		deadline:  r.Received.Add(timeout),
		waitUntil: r.Received.Add(time.Duration(queueWaitShare * float64(t.route.TargetLatency))),
		tried:     map[string]bool{}, refused: map[string]bool{}, openSends: map[string]upstreams.Entry{}, results: make(chan sendResult, maxSends),
	}
}

func (f *plainRequest) run(ctx context.Context) (*call.Answer, error) {
	var ok bool
	if f.service, ok = chooseService(f.auth.route); !ok {
		return nil, unavailable(outcome.KindNoUpstream, "the route has no service", retryAfterStoreOutage)
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
			if answer, err, done := f.handleResult(ctx, result); done {
				return answer, err
			}
		case <-hedgeTimer.C:
			f.startHedge(ctx)
		case <-ctx.Done():
			return nil, f.timeoutError(ctx)
		}
	}
}

// retryable reports whether the request may be sent to one more upstream although it may have run.
func (f *plainRequest) retryable() bool {
	return f.auth.route.Repeatable() && len(f.tried) < f.auth.route.MaxAttempts && f.action != quarantine.Probe
}

func (f *plainRequest) hedgeDelay() time.Duration {
	return max(minHedgeDelay, time.Duration(hedgeShare*float64(f.auth.route.TargetLatency)))
}

func (f *plainRequest) startHedge(ctx context.Context) {
	if f.hedged || f.pending == 0 || !f.retryable() || f.action != quarantine.Run {
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
	_ = f.startSend(ctx) // without a second upstream the first one is waited for
}

// startSend starts one more startSend.
func (f *plainRequest) startSend(ctx context.Context) error {
	if f.sends == 0 {
		f.g.mu.Lock()
		f.g.hedges.FirstTry(time.Now())
		f.g.mu.Unlock()
	}
	u, ok := f.chooseUpstream(ctx)
	if !ok {
		return unavailable(outcome.KindNoUpstream, "no upstream of the service takes the request", retryAfterBusy)
	}
	f.sends++
	f.pending++
	f.tried[u.ID] = true
	f.openSends[u.ID] = u
	req := *f.template
	req.TimeLeft, req.Upstream = time.Until(f.deadline), u
	isolated := f.action != quarantine.Run
	go func() {
		result := f.g.sendBuffered(ctx, &req)
		if isolated {
			f.g.releaseIsolated(u.ID)
		}
		f.results <- result
	}()
	return nil
}

// handleResult decides on the end of one send.
func (f *plainRequest) handleResult(ctx context.Context, r sendResult) (*call.Answer, error, bool) {
	delete(f.openSends, r.upstream.ID)
	if r.failure != nil {
		f.logFailure(r)
	}
	if r.failure == nil {
		r.answer.Upstream, r.answer.Sends = r.upstream.ID, f.sends
		f.countUsage()
		if r.answer.Status < http.StatusInternalServerError {
			return r.answer, nil, true
		}
		f.lastAnswer = r.answer
	} else {
		f.lastFailure = r.failure
		f.addBrokenRun(r.broken)
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
	answer, err := f.finalAnswer()
	return answer, err, true
}

// logFailure writes a line for a send that brought no answer.
func (f *plainRequest) logFailure(r sendResult) {
	f.g.opts.Log.Info().Str("request", f.request.ID).Str("upstream", r.upstream.ID).Str("reason", string(r.failure.Reason)).
		Str("ran", r.failure.Outcome.String()).Str("fingerprint", r.broken.fingerprint).Dur("took_ms", r.took).
		AnErr("error", r.failure.Err).Msg("send failed")
}

// mayRetry reports whether one more send is allowed after a result.
func (f *plainRequest) mayRetry(ctx context.Context, r sendResult) bool {
	if r.failure != nil && r.failure.Outcome == outcome.NotRun {
		return len(f.tried) < f.auth.route.MaxAttempts
	}
	return f.retryable() && f.g.mayRunAgain(ctx, f.broken)
}

// addBrokenRun takes a run under which an upstream may have ended. The next one runs apart from others like it.
func (f *plainRequest) addBrokenRun(run brokenRun) {
	if run.fingerprint == "" {
		return
	}
	f.broken = append(f.broken, run)
	if f.action == quarantine.Run {
		f.action = quarantine.RunAlone
	}
}

// retryBusyUpstreams tries the busy upstreams once more while the time for waiting lasts.
func (f *plainRequest) retryBusyUpstreams(ctx context.Context, r sendResult) bool {
	if r.failure == nil || r.failure.Outcome != outcome.NotRun || f.sends >= maxSends || time.Now().After(f.waitUntil) {
		return false
	}
	sleep(ctx, busyRetryDelay)
	clear(f.refused)
	return f.startSend(ctx) == nil
}

// finalAnswer is the final answer when no send can follow.
func (f *plainRequest) finalAnswer() (*call.Answer, error) {
	switch {
	case f.lastAnswer != nil:
		return f.lastAnswer, nil
	case len(f.tried) == 0:
		return nil, unavailable(outcome.KindOverloaded, "no upstream of the service had room", retryAfterBusy)
	default:
		return nil, outcomeUnknown(outcome.KindUpstreamFailed, http.StatusBadGateway, "the upstream gave no whole answer", f.lastFailure)
	}
}

// timeoutError is the final answer at the deadline, or for a caller that left.
func (f *plainRequest) timeoutError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		for _, u := range f.openSends {
			f.g.recordAbandonedRun(f.template, u, 0)
		}
		return outcomeUnknown(outcome.KindDeadline, http.StatusBadGateway, "the caller left", ctx.Err())
	}
	for id := range f.tried {
		f.g.opts.Log.Info().Str("request", f.request.ID).Str("upstream", id).Int("sends", f.sends).
			Msg("no answer from this upstream in time")
	}
	if f.pending == 0 && len(f.tried) == 0 {
		return unavailable(outcome.KindDeadline, "no upstream took the request in time", retryAfterBusy)
	}
	return outcomeUnknown(outcome.KindDeadline, http.StatusGatewayTimeout, "no answer in time", f.lastFailure)
}

func (f *plainRequest) countUsage() {
	if f.usageCounted || f.auth.workspace == nil {
		return
	}
	f.usageCounted = true
	f.g.countUsage(f.auth.workspace.Name)
}
