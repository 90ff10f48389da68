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
	// waitShare is the part of the target latency for which a request may wait for room at an upstream.
	waitShare = 0.2
	// busyPause separates two tries at busy upstreams.
	busyPause = 15 * time.Millisecond
	// maxTries bounds the sends of one request, those that were refused as not run included.
	maxTries = 12
)

// forward sends a plain request to upstreams until one answers it.
func (g *Gateway) forward(ctx context.Context, r *call.Request, t *target) (*call.Response, error) {
	f := newForwarding(g, r, t)
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel() // ends the sends that lost
	return f.run(ctx)
}

// forwarding is one plain request on its way.
type forwarding struct {
	g       *Gateway
	request *call.Request
	// template is the request as it goes to any upstream.
	template *upstreamcall.Request
	target   *target
	service  string
	deadline time.Time
	// waitUntil bounds how long the request waits for room.
	waitUntil time.Time
	// tried holds the upstreams that may have begun to run the request, and refused those that surely have not.
	tried, refused map[string]bool
	// open holds the sends without a result.
	open           map[string]upstreams.Entry
	sends, pending int
	counted        bool
	hedged         bool
	// action says how the request may run, and broken holds the runs under which an upstream may have ended.
	action  quarantine.Action
	broken  []brokenRun
	results chan sendResult
	// last is the failed answer that the caller gets when nothing better comes.
	last    *call.Response
	failure *upstreamcall.Failure
}

type sendResult struct {
	upstream upstreams.Entry
	answer   *call.Response
	failure  *upstreamcall.Failure
	// signature is the upstream's signature of the answer.
	signature string
	took      time.Duration
	// broken is set where the upstream may have ended under the request.
	broken brokenRun
}

func newForwarding(g *Gateway, r *call.Request, t *target) *forwarding {
	timeout := defaultTimeout
	if t.route.Timeout > 0 {
		timeout = t.route.Timeout
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	return &forwarding{
		g: g, request: r, target: t, template: &upstreamcall.Request{
			ID: r.ID, Host: r.Host, Method: r.Method, Target: r.Target, Header: r.Header, Body: r.Body,
			Workspace: t.workspaceName(), Priority: upstreamcall.NoPriority,
		},
		deadline:  r.Received.Add(timeout),
		waitUntil: r.Received.Add(time.Duration(waitShare * float64(t.route.TargetLatency))),
		tried:     map[string]bool{}, refused: map[string]bool{}, open: map[string]upstreams.Entry{}, results: make(chan sendResult, maxTries),
	}
}

func (f *forwarding) run(ctx context.Context) (*call.Response, error) {
	var ok bool
	if f.service, ok = chooseService(f.target.route); !ok {
		return nil, refuseFor(outcome.KindNoUpstream, "the route has no service", retryStore)
	}
	var err error
	if f.action, err = f.g.screen(ctx, f.template); err != nil {
		return nil, err
	}
	hedge := time.NewTimer(f.hedgeDelay())
	defer hedge.Stop()
	if err := f.send(ctx); err != nil {
		return nil, err
	}
	for {
		select {
		case result := <-f.results:
			f.pending--
			if answer, err, done := f.take(ctx, result); done {
				return answer, err
			}
		case <-hedge.C:
			f.hedge(ctx)
		case <-ctx.Done():
			return nil, f.timedOut(ctx)
		}
	}
}

// repeatable reports whether the request may be sent to one more upstream although it may have run.
func (f *forwarding) repeatable() bool {
	return f.target.route.Repeatable() && len(f.tried) < f.target.route.MaxAttempts && f.action != quarantine.Probe
}

func (f *forwarding) hedgeDelay() time.Duration {
	return max(minHedgeDelay, time.Duration(hedgeShare*float64(f.target.route.TargetLatency)))
}

func (f *forwarding) hedge(ctx context.Context) {
	if f.hedged || f.pending == 0 || !f.repeatable() || f.action != quarantine.Run {
		return
	}
	f.hedged = true
	f.g.mu.Lock()
	paid := f.g.hedges.Spend(time.Now())
	f.g.mu.Unlock()
	if !paid {
		return
	}
	f.g.met.hedges.Inc()
	_ = f.send(ctx) // without a second upstream the first one is waited for
}

// send starts one more send.
func (f *forwarding) send(ctx context.Context) error {
	if f.sends == 0 {
		f.g.mu.Lock()
		f.g.hedges.AddFirstAttempt(time.Now())
		f.g.mu.Unlock()
	}
	u, ok := f.place(ctx)
	if !ok {
		return refuseFor(outcome.KindNoUpstream, "no upstream of the service takes the request", retryBusy)
	}
	f.sends++
	f.pending++
	f.tried[u.ID] = true
	f.open[u.ID] = u
	req := *f.template
	req.TimeLeft, req.Upstream = time.Until(f.deadline), u
	apart := f.action != quarantine.Run
	go func() {
		result := f.g.sendWhole(ctx, &req)
		if apart {
			f.g.leaveApart(u.ID)
		}
		f.results <- result
	}()
	return nil
}

// take decides on the end of one send.
func (f *forwarding) take(ctx context.Context, r sendResult) (*call.Response, error, bool) {
	delete(f.open, r.upstream.ID)
	if r.failure != nil {
		f.logFailure(r)
	}
	if r.failure == nil {
		r.answer.Upstream, r.answer.Sends = r.upstream.ID, f.sends
		f.countUsage()
		if r.answer.Status < http.StatusInternalServerError {
			return r.answer, nil, true
		}
		f.last = r.answer
	} else {
		f.failure = r.failure
		f.noteBroken(r.broken)
		if r.failure.Outcome == outcome.NotRun {
			delete(f.tried, r.upstream.ID)
			f.refused[r.upstream.ID] = true
		} else {
			f.countUsage()
		}
	}
	if ctx.Err() != nil {
		return nil, f.timedOut(ctx), true
	}
	if f.mayRepeat(ctx, r) && f.sends < maxTries && f.send(ctx) == nil {
		return nil, nil, false
	}
	if f.pending > 0 {
		return nil, nil, false
	}
	if f.waitForRoom(ctx, r) {
		return nil, nil, false
	}
	answer, err := f.giveUp()
	return answer, err, true
}

// logFailure writes a line for a send that brought no answer.
func (f *forwarding) logFailure(r sendResult) {
	f.g.opts.Log.Info().Str("request", f.request.ID).Str("upstream", r.upstream.ID).Str("reason", string(r.failure.Reason)).
		Str("ran", r.failure.Outcome.String()).Str("fingerprint", r.broken.fingerprint).Dur("took_ms", r.took).
		AnErr("error", r.failure.Err).Msg("send failed")
}

// mayRepeat reports whether one more send is allowed after a result.
func (f *forwarding) mayRepeat(ctx context.Context, r sendResult) bool {
	if r.failure != nil && r.failure.Outcome == outcome.NotRun {
		return len(f.tried) < f.target.route.MaxAttempts
	}
	return f.repeatable() && f.g.mayRunAgain(ctx, f.broken)
}

// noteBroken takes a run under which an upstream may have ended. The next one runs apart from others like it.
func (f *forwarding) noteBroken(run brokenRun) {
	if run.fingerprint == "" {
		return
	}
	f.broken = append(f.broken, run)
	if f.action == quarantine.Run {
		f.action = quarantine.RunAlone
	}
}

// waitForRoom tries the busy upstreams once more while the time for waiting lasts.
func (f *forwarding) waitForRoom(ctx context.Context, r sendResult) bool {
	if r.failure == nil || r.failure.Outcome != outcome.NotRun || f.sends >= maxTries || time.Now().After(f.waitUntil) {
		return false
	}
	sleep(ctx, busyPause)
	clear(f.refused)
	return f.send(ctx) == nil
}

// giveUp is the final answer when no send can follow.
func (f *forwarding) giveUp() (*call.Response, error) {
	switch {
	case f.last != nil:
		return f.last, nil
	case len(f.tried) == 0:
		return nil, refuseFor(outcome.KindOverloaded, "no upstream of the service had room", retryBusy)
	default:
		return nil, undecided(outcome.KindUpstreamFailed, http.StatusBadGateway, "the upstream gave no whole answer", f.failure)
	}
}

// timedOut is the final answer at the deadline, or for a caller that left.
func (f *forwarding) timedOut(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		for _, u := range f.open {
			f.g.runAbandoned(f.template, u, 0)
		}
		return undecided(outcome.KindDeadline, http.StatusBadGateway, "the caller left", ctx.Err())
	}
	for id := range f.tried {
		f.g.opts.Log.Info().Str("request", f.request.ID).Str("upstream", id).Int("sends", f.sends).
			Msg("no answer from this upstream in time")
	}
	if f.pending == 0 && len(f.tried) == 0 {
		return refuseFor(outcome.KindDeadline, "no upstream took the request in time", retryBusy)
	}
	return undecided(outcome.KindDeadline, http.StatusGatewayTimeout, "no answer in time", f.failure)
}

func (f *forwarding) countUsage() {
	if f.counted || f.target.workspace == nil {
		return
	}
	f.counted = true
	f.g.countUsage(f.target.workspace.Name)
}
