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

// Times of a score call.
const (
	// scorePatience is how long a score call may stay without an answer before another upstream is asked beside it, where
	// the route names no target latency.
	scorePatience = 1200 * time.Millisecond
	// scoreTimeout bounds one score call where the route sets no timeout. It is well above scorePatience, because the few
	// calls with the most work take several times as long as the others, at every upstream.
	scoreTimeout = 5 * time.Second
	// maxScoreCalls bounds the calls for one item at the same time.
	maxScoreCalls = 3
	// scorePause and maxScorePause separate tries; the pause doubles.
	scorePause    = 15 * time.Millisecond
	maxScorePause = 400 * time.Millisecond
)

// scoring is the score call of one item on its way. The call may be repeated, so that a slow upstream is overtaken without
// giving up on its answer.
type scoring struct {
	o    *ownedJob
	item *batch.Progress
	// tried holds the upstreams that were asked, and pending those that have not answered, the oldest call first.
	tried   map[string]bool
	pending []upstreams.Entry
	results chan sendResult
	// limit is the number of failures that the route allows, and patience the time after which another call is sent.
	limit    int
	patience time.Duration
}

// run sends calls until one of them brings the score.
func (s *scoring) run(ctx context.Context) {
	pause := scorePause
	s.send(ctx)
	for {
		wait := s.patience
		if len(s.pending) == 0 {
			wait = pause
			pause = min(2*pause, maxScorePause)
		}
		select {
		case <-ctx.Done():
			return
		case r := <-s.results:
			s.pending = slices.DeleteFunc(s.pending, func(u upstreams.Entry) bool { return u.ID == r.upstream.ID })
			if s.o.scored(s.item, r, s.limit) {
				s.overtake(r)
				return
			}
		case <-time.After(wait):
			s.send(ctx)
		}
	}
}

// send starts one more call, unless there are enough or no upstream takes it.
func (s *scoring) send(ctx context.Context) {
	if len(s.pending) >= maxScoreCalls {
		return
	}
	g, score, now := s.o.g, s.item.Item.Score, time.Now()
	action, err := g.checkQuarantine(ctx, s.request())
	if err != nil || action != quarantine.Run && len(s.pending) > 0 {
		return // the item is owed and waits; a call that may end its upstream runs at one only
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	route, ok := g.config.Route(score.Host, score.Path)
	if !ok {
		return // the configuration dropped the route; the item waits for it to come back
	}
	s.limit, s.patience = route.MaxAttempts, scorePatience
	if route.TargetLatency > 0 {
		s.patience = route.TargetLatency
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
	g.acquire(u.ID, now)
	s.tried[u.ID] = true
	s.pending = append(s.pending, u)
	g.workWG.Go(func() { s.results <- s.call(ctx, u, timeout) })
}

func (s *scoring) call(ctx context.Context, u upstreams.Entry, timeout time.Duration) sendResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := s.request()
	req.TimeLeft, req.Upstream = timeout, u
	return s.o.g.sendBuffered(ctx, req)
}

// request is the score call as it goes to any upstream.
func (s *scoring) request() *upstreamcall.Request {
	score := s.item.Item.Score
	return &upstreamcall.Request{
		ID: score.ID, Host: score.Host, Method: http.MethodPost, Target: score.Path, Header: http.Header{}, Body: score.Body,
		Priority: upstreamcall.NoPriority,
	}
}

// overtake notes the upstreams that were asked before the one that answered. Their calls end from here, which by itself
// says nothing about an upstream.
func (s *scoring) overtake(winner sendResult) {
	if len(s.pending) == 0 || winner.took > s.patience {
		return
	}
	g, now := s.o.g, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range s.pending {
		if g.healthOf(u.ID).Fail(now) {
			g.opts.Log.Warn().Str("upstream", u.ID).Str("reason", "overtaken").Str("by", winner.upstream.ID).
				Msg("upstream suspect")
		}
	}
}
