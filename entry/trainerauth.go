package entry

import (
	"net/http"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// UnknownTrainer returns the refusal for a trainer that is not configured.
func UnknownTrainer() error {
	return notFound("the trainer does not exist", "ask the operator to create it")
}

// TrainerAuth authenticates trainers by the key of a request. It implements trainerapi.Authenticator.
type TrainerAuth struct{ e *Entry }

// TrainerAuth returns the authenticator for trainer requests.
func (e *Entry) TrainerAuth() TrainerAuth { return TrainerAuth{e: e} }

// Trainer returns the trainer whose key the request presents, or an *outcome.Refusal.
func (a TrainerAuth) Trainer(r *http.Request) (string, error) {
	secret, refusal := presentedSecret(r.Header)
	if refusal != nil {
		return "", refusal
	}
	if secret == "" {
		return "", unauthorized("the request presents no key")
	}
	if !a.e.config.MayServeKeyed(a.e.now()) {
		return "", entryIsolated(outcome.NotRun)
	}
	view := a.e.config.View()
	id, key, ok := view.KeyByHash(fleetconfig.HashSecret(secret))
	switch {
	case !ok:
		return "", unauthorized("the presented key is unknown")
	case key.Withdrawn:
		return "", keyWithdrawn(outcome.NotRun)
	case key.Trainer == "":
		return "", unauthorized("the presented key belongs to no trainer")
	}
	if _, ok := view.Trainer(key.Trainer); !ok {
		return "", unauthorized("the trainer of the presented key does not exist")
	}
	a.e.keyUse.record(id, a.e.now())
	return key.Trainer, nil
}
