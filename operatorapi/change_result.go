package operatorapi

import (
	"context"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/operatorclient"
)

// answerChange waits until a committed change is in force and answers where it is not.
func (a *api) answerChange(ctx iris.Context, kind fleetconfig.Kind, name string, revision int64) {
	result := a.awaitInForce(ctx, kind, name, revision)
	answer(ctx, statusOf(result), result)
}

func statusOf(result operatorclient.ChangeResult) int {
	if result.Accepted {
		return iris.StatusOK
	}
	return iris.StatusAccepted
}

func (a *api) awaitInForce(ctx iris.Context, kind fleetconfig.Kind, name string, revision int64) operatorclient.ChangeResult {
	waitCtx, cancel := context.WithTimeout(ctx.Request().Context(), a.opts.InForceTimeout)
	defer cancel()
	inForce := a.opts.Reader.AwaitPropagation(waitCtx, revision)
	result := operatorclient.ChangeResult{
		Kind: string(kind), Name: name, Revision: revision, Accepted: inForce.Everywhere, Message: "accepted",
		Pending: inForce.Pending, Isolated: inForce.Isolated,
	}
	if !inForce.Everywhere {
		result.Message = "committed, not yet in force at " + strings.Join(inForce.Pending, ", ")
	}
	a.opts.Logger.Info().Str("kind", string(kind)).Str("name", name).Int64("revision", revision).
		Bool("accepted", result.Accepted).Strs("pending", result.Pending).Strs("isolated", result.Isolated).
		Msg("configuration changed")
	return result
}
