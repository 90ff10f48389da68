package entry

import (
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// identity is what the presented key proves. The zero value is an anonymous caller, who may use open routes only.
type identity struct {
	workspace string
	keyID     string
	// secret is the presented secret; it is compared with the rest of the request and never logged or forwarded.
	secret string
	// refusal says why the presented key proves nothing, or that none was presented.
	refusal *outcome.Refusal
}

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

// recheckKey checks a key again after its request was indexed, which closes the gap between the first check and the
// index in which a withdrawal would find nothing to end.
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
