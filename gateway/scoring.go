package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Timeouts and limits of score calls.
const (
	// scoreHedgeDelay is how long a score call may stay unanswered before a hedged call goes to another upstream, if
	// the route sets no target latency.
	scoreHedgeDelay = 1200 * time.Millisecond
	// scoreTimeout limits one score call if the route sets no timeout. It is well above scoreHedgeDelay because the
	// few calls with the most work take several times as long as the others, at every upstream.
	scoreTimeout = 5 * time.Second
	// maxScoreCalls limits the concurrent calls for one item.
	maxScoreCalls = 3
	// scoreRetryDelay is the delay before the first retry; it doubles up to maxScoreRetryDelay.
	scoreRetryDelay    = 15 * time.Millisecond
	maxScoreRetryDelay = 400 * time.Millisecond
)

// scoring obtains the score of one item. The call is hedged, so that another upstream can overtake a slow one whose
// response still counts.
type scoring struct {
	o    *ownedJob
	item *batch.Progress
	// tried holds the IDs of the upstreams that were called, and pending those that have not responded, the oldest
	// call first.
	tried   map[string]bool
	pending []upstreams.Entry
	results chan sendResult
	// limit is the number of failures that the route allows, and hedgeAfter the time after which another call is
	// sent.
	limit      int
	hedgeAfter time.Duration
}

// run sends calls until one of them returns the score.
func (s *scoring) run(ctx context.Context) {
	pause := scoreRetryDelay
	s.send(ctx)
	for {
		wait := s.hedgeAfter
		if len(s.pending) == 0 {
			wait = pause
			pause = min(2*pause, maxScoreRetryDelay)
		}
		select {
		case <-ctx.Done():
			return
		case r := <-s.results:
			s.pending = slices.DeleteFunc(s.pending, func(u upstreams.Entry) bool { return u.ID == r.upstream.ID })
			if s.o.applyScoreResult(s.item, r, s.limit) {
				s.markOvertaken(r)
				return
			}
		case <-time.After(wait):
			s.send(ctx)
		}
	}
}

// send starts one more call, unless maxScoreCalls are pending or no upstream is available.
func (s *scoring) send(ctx context.Context) {
	if len(s.pending) >= maxScoreCalls {
		return
	}
	g, score, now := s.o.g, s.item.Item.Score, time.Now()
	action, err := g.checkQuarantine(ctx, s.request())
	if err != nil || action != quarantine.Run && len(s.pending) > 0 {
		return // the item is not abandoned but waits; a call that may crash its upstream runs at one upstream only
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	route, ok := g.config.Route(score.Host, score.Path)
	if !ok {
		return // the route was removed from the configuration; the item waits until it returns
	}
	s.limit, s.hedgeAfter = route.MaxAttempts, scoreHedgeDelay
	if route.TargetLatency > 0 {
		s.hedgeAfter = route.TargetLatency
	}
	timeout := scoreTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	service, _ := chooseService(route)
	u, ok := g.choosePlain(service, s.tried, true, now)
	if !ok || slices.ContainsFunc(s.pending, func(p upstreams.Entry) bool { return p.ID == u.ID }) {
		return
	}
	g.acquire(u, now)
	s.tried[u.ID] = true
	s.pending = append(s.pending, u)
	g.workWG.Go(func() { s.results <- s.call(ctx, u, timeout) })
}

func (s *scoring) call(ctx context.Context, u upstreams.Entry, timeout time.Duration) sendResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := s.request()
	req.TimeLeft, req.Upstream = timeout, u
	return s.o.g.sendBuffered(ctx, ctx, req)
}

// request builds the score call, which is the same for every upstream.
func (s *scoring) request() *upstreamcall.Request {
	score := s.item.Item.Score
	return &upstreamcall.Request{
		ID: score.ID, Host: score.Host, Method: http.MethodPost, Target: score.Path, Header: http.Header{}, Body: score.Body,
		Priority: upstreamcall.NoPriority,
	}
}

// markOvertaken records a failure of the upstreams that were called before the one that responded, if it responded in
// time. Their calls are cancelled here, which by itself says nothing about an upstream.
func (s *scoring) markOvertaken(winner sendResult) {
	if len(s.pending) == 0 || winner.took > s.hedgeAfter {
		return
	}
	g, now := s.o.g, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range s.pending {
		if g.healthOf(u.ID).RecordFailure(now) {
			g.opts.Log.Warn().Str("upstream", u.ID).Str("reason", "overtaken").Str("by", winner.upstream.ID).
				Msg("upstream suspect")
		}
	}
}
