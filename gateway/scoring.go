package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/admission"
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
	// limit is the number of failures that the route allows, hedgeAfter the time after which another call is sent, and
	// timeout that of one call.
	limit               int
	hedgeAfter, timeout time.Duration
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

// send starts one more call, unless maxScoreCalls are pending or no upstream is available. The first call waits until the
// limits of upstreams allow it.
func (s *scoring) send(ctx context.Context) {
	if len(s.pending) >= maxScoreCalls {
		return
	}
	g := s.o.g
	action, err := g.checkQuarantine(ctx, s.request())
	if err != nil || action != quarantine.Run && len(s.pending) > 0 {
		return // the item is not abandoned but waits; a call that may crash its upstream runs at one upstream only
	}
	turn, ok := s.limitTurn()
	if !ok {
		return // the route was removed from the configuration; the item waits until it returns
	}
	slot, err := g.reserve(ctx, turn, len(s.pending) == 0)
	if err != nil {
		return // run tries again
	}
	s.tried[slot.upstream.ID] = true
	s.pending = append(s.pending, slot.upstream)
	timeout := s.timeout
	g.workWG.Go(func() { s.results <- s.call(ctx, slot, timeout) })
}

// scoreRank ranks score calls behind the requests of callers of the same workspace, whatever the priority of their routes:
// a caller waits for milliseconds, an item for seconds.
const scoreRank = 1000

// limitTurn describes the next call to the queues for limited upstreams. It returns false if the call has no route.
func (s *scoring) limitTurn() (limitTurn, bool) {
	g, score := s.o.g, s.item.Item.Score
	g.mu.Lock()
	defer g.mu.Unlock()
	scope, ok := s.findRoute()
	return limitTurn{
		request: score.ID, scope: scope, background: true,
		item: admission.Item{Workspace: s.o.entry.record.Workspace, Rank: scoreRank + s.o.priority(s.item)},
		choose: func(inTurn bool, now time.Time) (u upstreams.Entry, found, limited bool) {
			scope, ok := s.findRoute() // the configuration may have changed while the call waited
			if !ok {
				return upstreams.Entry{}, false, false
			}
			u, found, limited = g.choosePlain(
				plainChoice{scope: scope, tried: s.tried, allowTried: true, background: true, inTurn: inTurn}, now)
			isPending := slices.ContainsFunc(s.pending, func(p upstreams.Entry) bool { return p.ID == u.ID })
			return u, found && !isPending, limited
		},
	}, ok
}

// findRoute reads the limits of the score call from its route, and picks its service. It returns false if there is no
// route. The caller holds g.mu.
func (s *scoring) findRoute() (scope sendScope, ok bool) {
	score := s.item.Item.Score
	route, ok := s.o.g.config.Route(score.Host, score.Path)
	if !ok {
		return sendScope{}, false
	}
	s.limit, s.hedgeAfter, s.timeout = route.MaxAttempts, scoreHedgeDelay, scoreTimeout
	if route.TargetLatency > 0 {
		s.hedgeAfter = route.TargetLatency
	}
	if route.Timeout > 0 {
		s.timeout = route.Timeout
	}
	service, ok := s.o.g.chooseService(route, route.Homes)
	return sendScope{service: service, homes: route.Homes}, ok
}

// scoreKind is the kind of score calls among the requests to a service.
const scoreKind = "score"

func (s *scoring) call(ctx context.Context, slot reservedSlot, timeout time.Duration) sendResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := s.request()
	req.TimeLeft, req.Upstream = timeout, slot.upstream
	return s.o.g.sendBuffered(ctx, ctx, req, slot.attempt, scoreKind)
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
