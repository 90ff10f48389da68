package operatorapi

import (
	"errors"

	"github.com/kataras/iris/v12"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/operatorclient"
)

// retryAfterSeconds is the Retry-After header of a response while the table is unavailable.
const retryAfterSeconds = "5"

// respondChangeError responds to a change that failed. An unknown outcome is checked first, because it may wrap any
// other error.
func respondChangeError(ctx iris.Context, err error) {
	var conflict *configstore.ConflictError
	switch {
	case hosting.IsKind(err, hosting.KindUnknown):
		respondError(ctx, iris.StatusGatewayTimeout, &operatorclient.Error{
			Kind: operatorclient.KindUnknown, Message: err.Error(), Remedy: "read the object before repeating the change",
		})
	case errors.As(err, &conflict):
		respondError(ctx, iris.StatusConflict, conflictBody(conflict))
	case len(validationErrors(err)) > 0:
		respondError(ctx, iris.StatusUnprocessableEntity, &operatorclient.Error{
			Kind: operatorclient.KindInvalid, Message: "the change is invalid", Remedy: "correct the fields",
			ValidationErrors: validationErrors(err),
		})
	default:
		respondUnavailable(ctx, err)
	}
}

func respondUnavailable(ctx iris.Context, err error) {
	ctx.Header("Retry-After", retryAfterSeconds)
	respondError(ctx, iris.StatusServiceUnavailable, &operatorclient.Error{
		Kind: operatorclient.KindUnavailable, Message: err.Error(), Remedy: "nothing was changed; retry later",
	})
}

func conflictBody(conflict *configstore.ConflictError) *operatorclient.Error {
	body := &operatorclient.Error{Kind: operatorclient.KindConflict, Message: conflict.Error()}
	if conflict.Current.Revision > 0 && !conflict.Current.Deleted {
		current := toObject(conflict.Current)
		body.Current = &current
	}
	return body
}

// validationErrors returns the validation errors that err joins.
func validationErrors(err error) []operatorclient.ValidationError {
	var v *fleetconfig.ValidationError
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var list []operatorclient.ValidationError
		for _, e := range joined.Unwrap() {
			list = append(list, validationErrors(e)...)
		}
		return list
	}
	if errors.As(err, &v) {
		return []operatorclient.ValidationError{{Field: v.Field, Problem: v.Problem, Remedy: v.Remedy}}
	}
	return nil
}

func respondNotFound(ctx iris.Context, what, remedy string) {
	respondError(ctx, iris.StatusNotFound, &operatorclient.Error{
		Kind: operatorclient.KindNotFound, Message: what + " does not exist", Remedy: remedy,
	})
}

func respondInvalid(ctx iris.Context, problem, remedy string) {
	respondError(ctx, iris.StatusBadRequest, &operatorclient.Error{
		Kind: operatorclient.KindInvalid, Message: problem, Remedy: remedy,
	})
}
