package operatorapi

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/kataras/iris/v12"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/operatorclient"
)

func toObject(o fleetconfig.Object) operatorclient.Object {
	return operatorclient.Object{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Value: o.Value}
}

// kindParam returns the kind in the path, or responds that it does not exist.
func kindParam(ctx iris.Context) (fleetconfig.Kind, bool) {
	kind := fleetconfig.Kind(ctx.Params().Get("kind"))
	if slices.Contains(fleetconfig.Kinds(), kind) {
		return kind, true
	}
	respondNotFound(ctx, "kind "+strconv.Quote(string(kind)), "use a kind listed in section 8 of docs/design.md")
	return "", false
}

func (a *api) listObjects(ctx iris.Context) {
	kind, ok := kindParam(ctx)
	if !ok {
		return
	}
	objects := []operatorclient.Object{}
	for _, o := range a.opts.Reader.View().Objects(kind) {
		objects = append(objects, toObject(o))
	}
	respond(ctx, iris.StatusOK, objects)
}

func (a *api) getObject(ctx iris.Context) {
	kind, ok := kindParam(ctx)
	if !ok {
		return
	}
	name := ctx.Params().Get("name")
	o, ok := a.opts.Reader.View().Object(kind, name)
	if !ok {
		respondNotFound(ctx, string(kind)+" "+strconv.Quote(name), "list the objects of this kind to check the name")
		return
	}
	respond(ctx, iris.StatusOK, toObject(o))
}

func (a *api) putObject(ctx iris.Context) {
	kind, expected, ok := changeParams(ctx)
	if !ok {
		return
	}
	body, err := ctx.GetBody()
	if err != nil || !json.Valid(body) {
		respondInvalid(ctx, "the body is not JSON or exceeds 256 KiB", "send the value of the object as JSON")
		return
	}
	name := ctx.Params().Get("name")
	revision, err := a.opts.Writer.Write(ctx.Request().Context(), kind, name, json.RawMessage(body), expected)
	if err != nil {
		respondChangeError(ctx, err)
		return
	}
	a.respondChange(ctx, kind, name, revision)
}

func (a *api) deleteObject(ctx iris.Context) {
	kind, expected, ok := changeParams(ctx)
	if !ok {
		return
	}
	name := ctx.Params().Get("name")
	revision, err := a.opts.Writer.Delete(ctx.Request().Context(), kind, name, expected)
	if err != nil {
		respondChangeError(ctx, err)
		return
	}
	a.respondChange(ctx, kind, name, revision)
}

// changeParams returns the kind and the expected revision of a change, or responds with what is wrong with them.
func changeParams(ctx iris.Context) (kind fleetconfig.Kind, expected int64, ok bool) {
	if kind, ok = kindParam(ctx); !ok {
		return "", 0, false
	}
	if kind == fleetconfig.KindKey {
		respondInvalid(ctx, "keys cannot be written directly", "grant and withdraw them under "+operatorclient.PathKeys)
		return "", 0, false
	}
	expected, err := strconv.ParseInt(ctx.URLParamDefault(operatorclient.ParamExpected, "0"), 10, 64)
	if err != nil || expected < 0 {
		respondInvalid(ctx, "the expected revision is not a non-negative integer", "send the revision that was read, or 0 to create")
		return "", 0, false
	}
	return kind, expected, true
}
