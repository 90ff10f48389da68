package operatorapi

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/operatorclient"
)

// secretPrefix lets secret scanners recognise a leaked key in source code.
const secretPrefix = "rsk_"

// maxWithdrawAttempts bounds the attempts of a withdrawal that conflicts with other changes of the same key.
const maxWithdrawAttempts = 5

// newSecret returns a secret with more than 128 bits of entropy.
func newSecret() string { return secretPrefix + strings.ToLower(rand.Text()) }

func (a *api) grantKey(ctx iris.Context) {
	var request operatorclient.KeyRequest
	if err := ctx.ReadJSON(&request); err != nil {
		respondInvalid(ctx, "invalid request body: "+err.Error(), `send for example {"workspace":"dispatch"}`)
		return
	}
	id := uuid.NewString()
	secret := newSecret()
	key := fleetconfig.Key{
		SecretHash: fleetconfig.HashSecret(secret), Workspace: request.Workspace, Trainer: request.Trainer,
		GrantedAt: time.Now().UTC().Format(time.RFC3339),
	}
	revision, err := a.opts.Writer.Write(ctx.Request().Context(), fleetconfig.KindKey, id, key, 0)
	if hosting.IsKind(err, hosting.KindUnknown) {
		respondError(ctx, iris.StatusGatewayTimeout, &operatorclient.Error{
			Kind: operatorclient.KindUnknown, Message: "key " + id + " may have been granted: " + err.Error(),
			Remedy: "its secret is lost; grant another key, and withdraw " + id + " if it is listed",
		})
		return
	}
	if err != nil {
		respondChangeError(ctx, err)
		return
	}
	result := a.awaitPropagation(ctx, fleetconfig.KindKey, id, revision)
	respond(ctx, changeStatus(result), operatorclient.KeyGrant{ChangeResult: result, ID: id, Secret: secret})
}

func (a *api) withdrawKey(ctx iris.Context) {
	id := ctx.Params().Get("id")
	current, ok := a.opts.Reader.View().Object(fleetconfig.KindKey, id)
	if !ok {
		respondNotFound(ctx, "key "+strconv.Quote(id), "list the keys to check the ID; a new key is listed within seconds")
		return
	}
	revision, err := a.withdraw(ctx.Request().Context(), current)
	if err != nil {
		respondChangeError(ctx, err)
		return
	}
	a.respondChange(ctx, fleetconfig.KindKey, id, revision)
}

// withdraw retries after a conflict, because a withdrawal must win over any other change of the key.
func (a *api) withdraw(ctx context.Context, current fleetconfig.Object) (revision int64, err error) {
	for range maxWithdrawAttempts {
		var key fleetconfig.Key
		if err := json.Unmarshal(current.Value, &key); err != nil {
			return 0, eris.Wrapf(err, "cannot decode key %s; delete it in the table", current.Name)
		}
		if key.Withdrawn {
			return current.Revision, nil
		}
		key.Withdrawn = true
		revision, err = a.opts.Writer.Write(ctx, fleetconfig.KindKey, current.Name, key, current.Revision)
		var conflict *configstore.ConflictError
		if !errors.As(err, &conflict) || hosting.IsKind(err, hosting.KindUnknown) || conflict.Current.Deleted {
			return revision, err
		}
		current = conflict.Current
	}
	return 0, err
}

func (a *api) listKeys(ctx iris.Context) {
	view := a.opts.Reader.View()
	keys := []operatorclient.KeyInfo{}
	for id, k := range view.Keys() {
		o, _ := view.Object(fleetconfig.KindKey, id)
		keys = append(keys, operatorclient.KeyInfo{
			ID: id, Workspace: k.Workspace, Trainer: k.Trainer, Withdrawn: k.Withdrawn, GrantedAt: k.GrantedAt,
			LastUse: a.lastUse(id), Revision: o.Revision,
		})
	}
	slices.SortFunc(keys, func(a, b operatorclient.KeyInfo) int { return cmp.Compare(a.ID, b.ID) })
	respond(ctx, iris.StatusOK, keys)
}

func (a *api) lastUse(id string) string {
	if a.opts.KeyUse == nil {
		return ""
	}
	at, ok := a.opts.KeyUse.LastUse(id)
	if !ok {
		return ""
	}
	return at.UTC().Format(time.RFC3339)
}
