package entry

import (
	"context"
	"net/http"

	"github.com/radishshelf/radishshelf/idempotency"
	"github.com/radishshelf/radishshelf/outcome"
)

// Claims writes the claim of a request that must run at most once. *idempotency.Store implements it.
type Claims interface {
	Claim(ctx context.Context, r idempotency.Request) (*idempotency.Claim, *idempotency.Answer, error)
}

// deliverOnce delivers a request with an idempotency key on a route whose requests must not be repeated.
func (x *exchange) deliverOnce(ctx context.Context, j *job, key string) error {
	if x.e.claims == nil {
		return newRetryableRefusal(outcome.KindStoreDown, http.StatusServiceUnavailable,
			"this entry keeps no idempotency keys", "send the request to another entry", retryAfterBusy)
	}
	claim, stored, err := x.e.claims.Claim(ctx, idempotency.Request{
		Workspace: j.workspace, Key: key, Content: idempotency.Content(j.method, j.target, j.body), RequestID: j.id,
	})
	if err != nil {
		return err
	}
	if stored != nil {
		x.e.metrics.replays.Inc()
		x.replay(stored.Status, stored.Header, stored.Body)
		return nil
	}
	relay := x.newResponseRelay()
	buffered := false
	relay.onComplete = func(status int, header http.Header, body []byte) {
		buffered = true
		// The answer is stored before the caller sees it, so that a resend after a lost answer finds it.
		x.finishClaim(claim, &idempotency.Answer{Status: status, Header: header.Clone(), Body: append([]byte(nil), body...)})
	}
	_, err = x.deliver(ctx, j, relay)
	switch {
	case err == nil && !buffered:
		x.finishClaim(claim, nil)
	case err != nil && asRefusal(err).Outcome == outcome.NotRun:
		x.releaseClaim(claim)
	}
	return err
}

// finishClaim uses a context of its own: the effect must be recorded even when the caller is gone.
func (x *exchange) finishClaim(claim *idempotency.Claim, answer *idempotency.Answer) {
	if err := claim.Finish(context.Background(), answer); err != nil {
		x.e.log.Warn().Str("request", x.id).Err(err).Msg("the answer of a claimed request was not stored")
	}
}

func (x *exchange) releaseClaim(claim *idempotency.Claim) {
	if err := claim.Release(context.Background()); err != nil {
		x.e.log.Warn().Str("request", x.id).Err(err).Msg("the claim of a request that did not run was not removed")
	}
}
