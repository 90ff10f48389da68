package entry

import (
	"context"
	"net/http"

	"github.com/radishshelf/radishshelf/idempotency"
	"github.com/radishshelf/radishshelf/outcome"
)

// Claims records the claim of a request that must run at most once. *idempotency.Store implements it.
type Claims interface {
	// Claim returns a claim if the request may run, or the stored response of an earlier request with the same key.
	Claim(ctx context.Context, r idempotency.Request) (*idempotency.Claim, *idempotency.Response, error)
}

// deliverOnce delivers a request that has an idempotency key, on a route that is not idempotent.
func (x *exchange) deliverOnce(ctx context.Context, j *job, key string) error {
	if x.e.claims == nil {
		return newRetryableRefusal(outcome.KindStoreDown, http.StatusServiceUnavailable,
			"this entry does not support idempotency keys", "send the request to another entry", retryAfterBusy)
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
	relay := x.newResponseRelay()
	buffered := false
	relay.onComplete = func(status int, header http.Header, body []byte) {
		buffered = true
		// The response is stored before it is sent, so that a retry after a lost response finds it.
		x.finishClaim(claim, &idempotency.Response{Status: status, Header: header.Clone(), Body: append([]byte(nil), body...)})
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

// finishClaim stores the response of a claimed request. It does not use the request's context, because the effect must
// be recorded even if the caller has disconnected.
func (x *exchange) finishClaim(claim *idempotency.Claim, response *idempotency.Response) {
	if err := claim.Finish(context.Background(), response); err != nil {
		x.e.log.Warn().Str("request", x.id).Err(err).Msg("storing the response of a claimed request failed")
	}
}

// releaseClaim removes the claim of a request that did not run, so that a retry may run.
func (x *exchange) releaseClaim(claim *idempotency.Claim) {
	if err := claim.Release(context.Background()); err != nil {
		x.e.log.Warn().Str("request", x.id).Err(err).Msg("releasing the claim of a request that did not run failed")
	}
}
