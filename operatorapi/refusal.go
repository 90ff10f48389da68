package operatorapi

import (
	"errors"

	"github.com/kataras/iris/v12"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/operatorclient"
)

// retryAfterSeconds is when to repeat a change that the table could not take.
const retryAfterSeconds = "5"

// refuseChange answers a change that failed. An unknown effect is looked for first: it may wrap any other error.
func refuseChange(ctx iris.Context, err error) {
	var conflict *configstore.ConflictError
	switch {
	case hosting.IsKind(err, hosting.KindUnknown):
		refuse(ctx, iris.StatusGatewayTimeout, &operatorclient.Error{
			Kind: operatorclient.KindUnknown, Message: err.Error(), Remedy: "read the object before you repeat the change",
		})
	case errors.As(err, &conflict):
		refuse(ctx, iris.StatusConflict, conflictBody(conflict))
	case len(faultsOf(err)) > 0:
		refuse(ctx, iris.StatusUnprocessableEntity, &operatorclient.Error{
			Kind: operatorclient.KindInvalid, Message: "the change is invalid", Remedy: "correct the fields",
			ValidationErrors: faultsOf(err),
		})
	default:
		refuseUnavailable(ctx, err)
	}
}

func refuseUnavailable(ctx iris.Context, err error) {
	ctx.Header("Retry-After", retryAfterSeconds)
	refuse(ctx, iris.StatusServiceUnavailable, &operatorclient.Error{
		Kind: operatorclient.KindUnavailable, Message: err.Error(), Remedy: "nothing was changed; repeat it later",
	})
}

func conflictBody(conflict *configstore.ConflictError) *operatorclient.Error {
	body := &operatorclient.Error{Kind: operatorclient.KindConflict, Message: conflict.Error()}
	if conflict.Current.Revision > 0 && !conflict.Current.Deleted {
		current := objectOf(conflict.Current)
		body.Current = &current
	}
	return body
}

// faultsOf collects the validation errors that err joins.
func faultsOf(err error) []operatorclient.ValidationError {
	var fault *fleetconfig.ValidationError
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var faults []operatorclient.ValidationError
		for _, e := range joined.Unwrap() {
			faults = append(faults, faultsOf(e)...)
		}
		return faults
	}
	if errors.As(err, &fault) {
		return []operatorclient.ValidationError{{Field: fault.Field, Problem: fault.Problem, Remedy: fault.Remedy}}
	}
	return nil
}

func notFound(ctx iris.Context, what, remedy string) {
	refuse(ctx, iris.StatusNotFound, &operatorclient.Error{
		Kind: operatorclient.KindNotFound, Message: what + " does not exist", Remedy: remedy,
	})
}

func invalid(ctx iris.Context, problem, remedy string) {
	refuse(ctx, iris.StatusBadRequest, &operatorclient.Error{
		Kind: operatorclient.KindInvalid, Message: problem, Remedy: remedy,
	})
}
