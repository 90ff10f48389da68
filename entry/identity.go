package entry

import (
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// identity is the authenticated identity of a caller. If refusal is set, the caller is anonymous and may use only open
// policies and routes.
type identity struct {
	workspace string
	keyID     string
	// secret is the presented secret. The rest of the request is searched for it; it is never logged or forwarded.
	secret string
	// refusal is why the caller is not authenticated: no key, or a key that is not valid.
	refusal *outcome.Refusal
}

// identify authenticates the caller by its key.
func (e *Entry) identify(h http.Header, view *fleetconfig.View, now time.Time) identity {
	secret, refusal := presentedSecret(h)
	if refusal != nil {
		return identity{refusal: refusal}
	}
	if secret == "" {
		return identity{refusal: unauthorized("the request presents no key")}
	}
	if !e.config.MayServeKeyed(now) {
		return identity{secret: secret, refusal: entryIsolated(outcome.NotRun)}
	}
	id, key, ok := view.KeyByHash(fleetconfig.HashSecret(secret))
	if !ok {
		return identity{secret: secret, refusal: unauthorized("the presented key is unknown")}
	}
	if key.Withdrawn {
		return identity{secret: secret, refusal: keyWithdrawn(outcome.NotRun)}
	}
	if key.Workspace == "" {
		return identity{secret: secret, refusal: unauthorized("the presented key belongs to no workspace")}
	}
	if _, ok := view.Workspace(key.Workspace); !ok {
		return identity{secret: secret, refusal: unauthorized("the workspace of the presented key does not exist")}
	}
	e.keyUse.record(id, now)
	return identity{workspace: key.Workspace, keyID: id, secret: secret}
}

// recheckKey checks a key again after its request was added to the key index. Otherwise a key that is withdrawn between
// the first check and the indexing would not cancel the request.
func (e *Entry) recheckKey(id identity, now time.Time) *outcome.Refusal {
	if id.keyID == "" {
		return nil
	}
	key, ok := e.config.View().Key(id.keyID)
	if !ok || key.Withdrawn || key.Workspace != id.workspace || key.SecretHash != fleetconfig.HashSecret(id.secret) {
		return keyWithdrawn(outcome.NotRun)
	}
	if !e.config.MayServeKeyed(now) {
		return entryIsolated(outcome.NotRun)
	}
	return nil
}
