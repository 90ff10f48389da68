package gateway

import (
	"context"
	"net/http"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/outcome"
)

// score obtains the score of a complete text. It returns when the ownership of the job ends, at the latest.
func (o *ownedJob) score(p *batch.Progress) {
	ctx, cancel := context.WithCancel(o.ctx)
	defer cancel() // cancels the calls that are still pending
	s := &scoring{o: o, item: p, tried: map[string]bool{}, results: make(chan sendResult, maxScoreCalls)}
	s.run(ctx)
}

// applyScoreResult handles the result of a score call and reports whether the item is finished.
func (o *ownedJob) applyScoreResult(p *batch.Progress, r sendResult, limit int) bool {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	switch {
	case r.failure != nil:
		if r.failure.Outcome != outcome.NotRun && o.ctx.Err() == nil {
			o.g.opts.Log.Info().Str("job", o.entry.id).Str("item", p.Item.ID).Str("upstream", r.upstream.ID).
				Str("reason", string(r.failure.Reason)).Dur("took_ms", r.took).Msg("score call failed")
		}
		return false
	case r.signature != "":
		o.job.Scored(p, r.signature)
		return true
	case r.response.Status == http.StatusInternalServerError:
		abandoned := o.job.ScoreFailed(p, limit)
		if abandoned {
			o.g.opts.Log.Info().Str("job", o.entry.id).Str("item", p.Item.ID).Int("failures", p.ScoreFailures).
				Msg("item abandoned: its score call failed too often")
		}
		return abandoned
	default:
		return false
	}
}
