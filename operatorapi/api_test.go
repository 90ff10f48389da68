package operatorapi

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/configsync"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/operatorclient"
	"github.com/radishshelf/radishshelf/standin/memory"
)

type fixture struct {
	mem    *memory.Platform
	sync   *configsync.Syncer
	client *operatorclient.Client
	log    strings.Builder
}

// newFixture serves the operator interface of a fleet of one entry.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{mem: memory.New(memory.Options{})}
	store := configstore.New(f.mem.Table)
	f.sync = configsync.New(configsync.Options{
		Name: "entry-1", PeerAddress: "127.0.0.1:1", DataCentre: "wien", Source: store, Interval: 20 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.sync.Run(ctx)
	}()
	handler, err := New(Options{
		Writer: store, Reader: f.sync, Token: "operator", PropagationTimeout: 5 * time.Second, Logger: zerolog.New(&f.log),
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-done
	})
	f.client = operatorclient.New(server.Listener.Addr().String(), operatorclient.Options{Token: "operator"})
	return f
}

func requireError(t *testing.T, err error, kind operatorclient.ErrorKind) *operatorclient.Error {
	t.Helper()
	var e *operatorclient.Error
	if !errors.As(err, &e) || e.Kind != kind || e.Message == "" {
		t.Fatalf("error %v; want kind %s", err, kind)
	}
	return e
}

// Guards against a conflict response without the current value, and a validation error without its field.
func TestObjects(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	created, err := f.client.Put(ctx, fleetconfig.KindPolicy, "fares", fleetconfig.Policy{MaxTokens: 7}, 0)
	if err != nil || !created.Accepted || created.Revision != 1 {
		t.Fatalf("Put = %+v, %v", created, err)
	}
	_, err = f.client.Put(ctx, fleetconfig.KindPolicy, "fares", fleetconfig.Policy{}, 0)
	conflict := requireError(t, err, operatorclient.KindConflict)
	if conflict.Current == nil || conflict.Current.Revision != 1 || !strings.Contains(string(conflict.Current.Value), "7") {
		t.Errorf("conflict = %+v; want the current value", conflict)
	}
	_, err = f.client.Put(ctx, fleetconfig.KindException, "e",
		fleetconfig.Exception{Scope: "policy/fares", Field: "max_tokens", Value: []byte("5")}, 0)
	if invalid := requireError(t, err, operatorclient.KindInvalid).ValidationErrors; len(invalid) != 1 || invalid[0].Field != "reason" {
		t.Errorf("validation errors = %+v; want one for the missing reason", invalid)
	}
	if list, err := f.client.List(ctx, fleetconfig.KindPolicy); err != nil || len(list) != 1 {
		t.Errorf("List = %+v, %v", list, err)
	}
	if deleted, err := f.client.Delete(ctx, fleetconfig.KindPolicy, "fares", 1); err != nil || !deleted.Accepted {
		t.Errorf("Delete = %+v, %v", deleted, err)
	}
	_, err = f.client.Get(ctx, fleetconfig.KindPolicy, "fares")
	requireError(t, err, operatorclient.KindNotFound)
	_, err = f.client.Roles(ctx)
	requireError(t, err, operatorclient.KindNotFound)
	f.mem.Table.Faults.Set(memory.Faults{Outage: true})
	_, err = f.client.Put(ctx, fleetconfig.KindPolicy, "p", fleetconfig.Policy{}, 0)
	requireError(t, err, operatorclient.KindUnavailable)
}

// Guards against a secret stored or logged in plain text, and a withdrawal reported before it is in force.
func TestKeys(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	if _, err := f.client.Put(ctx, fleetconfig.KindWorkspace, "dispatch", fleetconfig.Workspace{}, 0); err != nil {
		t.Fatal(err)
	}
	grant, err := f.client.GrantKey(ctx, operatorclient.KeyRequest{Workspace: "dispatch"})
	if err != nil || !grant.Accepted {
		t.Fatalf("GrantKey = %+v, %v", grant, err)
	}
	if id, _, ok := f.sync.View().KeyByHash(fleetconfig.HashSecret(grant.Secret)); !ok || id != grant.ID {
		t.Errorf("the granted secret belongs to key %q, %t; want %q", id, ok, grant.ID)
	}
	rows, err := f.mem.Table.Scan(ctx, "config/", "", 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if strings.Contains(string(row.Value), grant.Secret) {
			t.Errorf("row %s contains the secret", row.Key)
		}
	}
	if result, err := f.client.WithdrawKey(ctx, grant.ID); err != nil || !result.Accepted {
		t.Fatalf("WithdrawKey = %+v, %v", result, err)
	}
	if key, _ := f.sync.View().Key(grant.ID); !key.Withdrawn {
		t.Error("the withdrawal was accepted but is not in force")
	}
	if again, err := f.client.WithdrawKey(ctx, grant.ID); err != nil || !again.Accepted {
		t.Errorf("second WithdrawKey = %+v, %v", again, err)
	}
	keys, err := f.client.Keys(ctx)
	if err != nil || len(keys) != 1 || !keys[0].Withdrawn {
		t.Errorf("Keys = %+v, %v", keys, err)
	}
	_, err = f.client.Put(ctx, fleetconfig.KindKey, "k", fleetconfig.Key{}, 0)
	requireError(t, err, operatorclient.KindInvalid)
	if strings.Contains(f.log.String(), grant.Secret) {
		t.Error("the log contains the secret")
	}
}

// Guards against an error response without a remedy, and an operation without the operator credential.
func TestInvalidRequests(t *testing.T) {
	f := newFixture(t)
	handler, err := New(Options{Reader: f.sync, Token: "operator", Logger: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		method, target, token, body string
		status                      int
	}{
		{"GET", "/v1/config/policy", "", "", http.StatusUnauthorized},
		{"GET", "/v1/config/policies", "operator", "", http.StatusNotFound},
		{"GET", "/v2", "operator", "", http.StatusNotFound},
		{"PUT", "/v1/config/policy/p?expected=x", "operator", "{}", http.StatusBadRequest},
		{"PUT", "/v1/config/policy/p", "operator", "{", http.StatusBadRequest},
		{"PUT", "/v1/config/policy/p", "operator", `"` + strings.Repeat("x", 300<<10) + `"`, http.StatusBadRequest},
	} {
		req := httptest.NewRequest(tt.method, tt.target, strings.NewReader(tt.body))
		req.Header.Set("Authorization", "Bearer "+tt.token)
		rec := httptest.NewRecorder()
		handler.ServeHTTP(rec, req)
		if rec.Code != tt.status || !strings.Contains(rec.Body.String(), `"remedy"`) {
			t.Errorf("%s %s: %d %s; want %d and a remedy", tt.method, tt.target, rec.Code, rec.Body, tt.status)
		}
	}
}
