package entry

import (
	"context"
	"net/http"

	"github.com/radishshelf/radishshelf/idempotency"
	"github.com/radishshelf/radishshelf/outcome"
)

// Claims writes the claim of a request that must run at most once. *idempotency.Store implements it.
type Claims interface {
	Claim(ctx context.Context, r idempotency.Request) (*idempotency.Claim, *idempotency.Response, error)
}

// deliverOnce delivers a request with an idempotency key on a route whose requests must not be repeated.
func (x *exchange) deliverOnce(ctx context.Context, j *job, key string) error {
	if x.e.claims == nil {
		return refuseLater(outcome.KindStoreDown, http.StatusServiceUnavailable,
			"this entry keeps no idempotency keys", "send the request to another entry", retryBusy)
	}
	claim, stored, err := x.e.claims.Claim(ctx, idempotency.Request{
		Workspace: j.workspace, Key: key, Content: idempotency.ContentHash(j.method, j.target, j.body), RequestID: j.id,
	})
	if err != nil {
		return err
	}
	if stored != nil {
		x.e.metrics.replays.Inc()
		x.replay(stored.Status, stored.Header, stored.Body)
		return nil
	}
	to := x.newRelay()
	kept := false
	to.complete = func(status int, header http.Header, body []byte) {
		kept = true
		// The answer is stored before the caller sees it, so that a resend after a lost answer finds it.
		x.finishClaim(claim, &idempotency.Response{Status: status, Header: header.Clone(), Body: append([]byte(nil), body...)})
	}
	_, err = x.deliver(ctx, j, to)
	switch {
	case err == nil && !kept:
		x.finishClaim(claim, nil)
	case err != nil && asRefusal(err).Outcome == outcome.NotRun:
		x.releaseClaim(claim)
	}
	return err
}

// finishClaim uses a context of its own: the effect must be recorded even when the caller is gone.
func (x *exchange) finishClaim(claim *idempotency.Claim, answer *idempotency.Response) {
	if err := claim.Finish(context.Background(), answer); err != nil {
		x.e.log.Warn().Str("request", x.id).Err(err).Msg("the answer of a claimed request was not stored")
	}
}

func (x *exchange) releaseClaim(claim *idempotency.Claim) {
	if err := claim.Release(context.Background()); err != nil {
		x.e.log.Warn().Str("request", x.id).Err(err).Msg("the claim of a request that did not run was not removed")
	}
}
