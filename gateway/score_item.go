package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Times of a score call.
const (
	// scoreTimeout bounds one score call; the work takes a few tens of milliseconds at a plain service.
	scoreTimeout = 1200 * time.Millisecond
	// scorePause and maxScorePause separate tries; the pause doubles.
	scorePause    = 15 * time.Millisecond
	maxScorePause = 400 * time.Millisecond
)

// score obtains the score of a complete text. It ends with the ownership of the job at the latest.
func (o *ownedJob) score(p *batch.Progress) {
	tried := map[string]bool{}
	pause := scorePause
	for o.ctx.Err() == nil {
		result, limit, ok := o.scoreOnce(p, tried)
		if ok && o.scored(p, result, limit) {
			return
		}
		sleep(o.ctx, pause)
		pause = min(2*pause, maxScorePause)
	}
}

// scoreOnce sends the score call to one upstream and returns the number of failures that its route allows. It returns
// false when no upstream takes the call.
func (o *ownedJob) scoreOnce(p *batch.Progress, tried map[string]bool) (sendResult, int, bool) {
	call := p.Item.Score
	now := time.Now()
	o.g.mu.Lock()
	route, ok := o.g.config.Route(call.Host, call.Path)
	if !ok {
		o.g.mu.Unlock()
		return sendResult{}, 0, false
	}
	service, _ := chooseService(route)
	u, ok := o.g.choosePlain(service, tried, true, now)
	if ok {
		o.g.acquire(u.ID, now)
	}
	o.g.mu.Unlock()
	if !ok {
		return sendResult{}, 0, false
	}
	tried[u.ID] = true
	ctx, cancel := context.WithTimeout(o.ctx, scoreTimeout)
	defer cancel()
	return o.g.sendWhole(ctx, &upstreamcall.Request{
		ID: call.ID, Host: call.Host, Method: http.MethodPost, Target: call.Path, Header: http.Header{}, Body: call.Body,
		TimeLeft: scoreTimeout, Priority: upstreamcall.NoPriority, Upstream: u,
	}), route.MaxAttempts, true
}

// scored takes the end of a score call and reports whether the item is finished.
func (o *ownedJob) scored(p *batch.Progress, r sendResult, limit int) bool {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	switch {
	case r.failure != nil:
		if r.failure.Outcome != outcome.NotRun && o.ctx.Err() == nil {
			o.g.opts.Log.Info().Str("job", o.entry.id).Str("item", p.Item.ID).Str("upstream", r.upstream.ID).
				Str("reason", string(r.failure.Reason)).Dur("took_ms", r.took).Msg("score call failed")
		}
		return false
	case r.answer.Status < http.StatusMultipleChoices:
		o.job.Scored(p, r.signature)
		return true
	case r.answer.Status == http.StatusInternalServerError:
		abandoned := o.job.ScoreFailed(p, limit)
		if abandoned {
			o.g.opts.Log.Info().Str("job", o.entry.id).Str("item", p.Item.ID).Int("failures", p.ScoreFailures).
				Msg("item abandoned, its score call keeps failing")
		}
		return abandoned
	default:
		return false
	}
}
