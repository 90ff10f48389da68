package operatorapi

import (
	"context"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/operatorclient"
	"github.com/radishshelf/radishshelf/rpc"
)

func (a *api) effective(ctx iris.Context) {
	respond(ctx, iris.StatusOK, a.opts.Reader.View().Effective(fleetconfig.Scope{
		Workspace: ctx.URLParam("workspace"), Policy: ctx.URLParam("policy"), DataCentre: ctx.URLParam("data_centre"),
	}))
}

func (a *api) entries(ctx iris.Context) {
	now := time.Now()
	entries := []operatorclient.EntryStatus{toEntryStatus(a.opts.Reader.Info(now))}
	for _, info := range a.opts.Reader.Entries(now) {
		entries = append(entries, toEntryStatus(info))
	}
	respond(ctx, iris.StatusOK, entries)
}

func toEntryStatus(info *rpc.EntryInfo) operatorclient.EntryStatus {
	return operatorclient.EntryStatus{
		Name: info.GetName(), PeerAddress: info.GetPeerAddress(), DataCentre: info.GetDataCentre(),
		Region: info.GetRegion(), Leaving: info.GetLeaving(), AppliedRevision: info.GetAppliedRevision(),
		ConfirmationAgeMs: info.GetConfirmationAgeMs(),
	}
}

func (a *api) hosts(ctx iris.Context) {
	if a.opts.Hosts == nil {
		respondNotOffered(ctx)
		return
	}
	respondList(ctx, a.opts.Hosts.HostStatus)
}

func (a *api) roles(ctx iris.Context) {
	if a.opts.Roles == nil {
		respondNotOffered(ctx)
		return
	}
	respondList(ctx, a.opts.Roles.RoleStatus)
}

func (a *api) usageWindows(ctx iris.Context) {
	if a.opts.Usage == nil {
		respondNotOffered(ctx)
		return
	}
	respondList(ctx, a.opts.Usage.UsageWindows)
}

func (a *api) versions(ctx iris.Context) {
	if a.opts.Versions == nil {
		respondNotOffered(ctx)
		return
	}
	respondList(ctx, a.opts.Versions.VersionStatus)
}

func (a *api) decision(ctx iris.Context) {
	if a.opts.Decisions == nil {
		respondNotOffered(ctx)
		return
	}
	id := ctx.Params().Get("id")
	decision, ok := a.opts.Decisions.Decision(id)
	if !ok {
		respondNotFound(ctx, "a routing decision for request "+strconv.Quote(id)+" at this entry",
			"ask the entry that served the request; decisions are kept for a limited time")
		return
	}
	respond(ctx, iris.StatusOK, decision)
}

// respondList responds with the elements that source returns.
func respondList[T any](ctx iris.Context, source func(context.Context) ([]T, error)) {
	elements, err := source(ctx.Request().Context())
	if err != nil {
		respondUnavailable(ctx, err)
		return
	}
	if elements == nil {
		elements = []T{}
	}
	respond(ctx, iris.StatusOK, elements)
}

func respondNotOffered(ctx iris.Context) {
	respondError(ctx, iris.StatusNotImplemented, &operatorclient.Error{
		Kind: operatorclient.KindNotFound, Message: "this entry does not offer " + ctx.Path(), Remedy: "ask another entry",
	})
}
