package operatorapi

import (
	"context"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/operatorclient"
)

// respondChange waits until a committed change is in force and responds with the entries where it is not.
func (a *api) respondChange(ctx iris.Context, kind fleetconfig.Kind, name string, revision int64) {
	result := a.awaitPropagation(ctx, kind, name, revision)
	respond(ctx, changeStatus(result), result)
}

func changeStatus(result operatorclient.ChangeResult) int {
	if result.Accepted {
		return iris.StatusOK
	}
	return iris.StatusAccepted
}

func (a *api) awaitPropagation(ctx iris.Context, kind fleetconfig.Kind, name string, revision int64) operatorclient.ChangeResult {
	waitCtx, cancel := context.WithTimeout(ctx.Request().Context(), a.opts.PropagationTimeout)
	defer cancel()
	propagation := a.opts.Reader.AwaitPropagation(waitCtx, revision)
	result := operatorclient.ChangeResult{
		Kind: string(kind), Name: name, Revision: revision, Accepted: propagation.Everywhere, Message: "accepted",
		Pending: propagation.Pending, Isolated: propagation.Isolated,
	}
	if !propagation.Everywhere {
		result.Message = "committed, not yet in force at " + strings.Join(propagation.Pending, ", ")
	}
	a.opts.Logger.Info().Str("kind", string(kind)).Str("name", name).Int64("revision", revision).
		Bool("accepted", result.Accepted).Strs("pending", result.Pending).Strs("isolated", result.Isolated).
		Msg("configuration changed")
	return result
}
