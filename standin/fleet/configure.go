package fleet

import (
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/operatorclient"
)

// Workspaces of every fleet.
const (
	Hraunvegur = "hraunvegur"
	Verband    = "verband"
)

// usageWindowSeconds is the length of a usage window in seconds.
const usageWindowSeconds = 2

func operatorClient(e *Entry) *operatorclient.Client {
	return operatorclient.New(e.OperatorAddress, operatorclient.Options{})
}

// Operator returns a client for the operator interface of an entry, counted from 0.
func (f *Fleet) Operator(entry int) *operatorclient.Client { return operatorClient(f.Entries[entry]) }

// configure creates the configuration objects that every fleet uses.
func (f *Fleet) configure() {
	f.t.Helper()
	f.SetMinUpstreams(1)
	f.putConfig(fleetconfig.KindPolicy, Policy, fleetconfig.Policy{})
	f.putConfig(fleetconfig.KindTrainer, TrainerName, fleetconfig.Trainer{Policy: Policy, MaxStaleness: 1_000, LotSamples: 4})
	for _, name := range []string{Hraunvegur, Verband} {
		f.putConfig(fleetconfig.KindWorkspace, name, fleetconfig.Workspace{Weight: 1})
	}
	f.putConfig(fleetconfig.KindRoute, "bookings", fleetconfig.Route{PathPrefix: "/bookings", Service: deskService})
	f.putConfig(fleetconfig.KindRoute, "fares", fleetconfig.Route{PathPrefix: "/fares", Service: deskService, Idempotent: true})
}

// SetMinUpstreams writes the fleet's defaults. A count above the number of running upstreams makes the holder of the orders
// role place orders.
func (f *Fleet) SetMinUpstreams(count int) {
	f.t.Helper()
	f.putConfig(fleetconfig.KindDefaults, fleetconfig.DefaultsName, fleetconfig.Defaults{
		MaxTokens: 4096, RequestTimeoutMs: 60_000, MaxEntries: 4, UsageWindowSeconds: usageWindowSeconds,
		MinUpstreams: count, MaxUpstreams: 4,
	})
}

// putConfig creates or replaces a configuration object.
func (f *Fleet) putConfig(kind fleetconfig.Kind, name string, value any) {
	f.t.Helper()
	var revision int64
	if existing, err := f.Operator(0).Get(f.t.Context(), kind, name); err == nil {
		revision = existing.Revision
	}
	if _, err := f.Operator(0).Put(f.t.Context(), kind, name, value, revision); err != nil {
		f.t.Fatalf("put %s %s: %v", kind, name, err)
	}
}

// GrantKey grants a key of a workspace. The key works at every entry when GrantKey returns.
func (f *Fleet) GrantKey(workspace string) operatorclient.KeyGrant {
	f.t.Helper()
	return f.requestKey(operatorclient.KeyRequest{Workspace: workspace})
}

// GrantTrainerKey grants a key of the trainer and returns its secret.
func (f *Fleet) GrantTrainerKey() string {
	f.t.Helper()
	return f.requestKey(operatorclient.KeyRequest{Trainer: TrainerName}).Secret
}

func (f *Fleet) requestKey(request operatorclient.KeyRequest) operatorclient.KeyGrant {
	f.t.Helper()
	grant, err := f.Operator(0).GrantKey(f.t.Context(), request)
	if err != nil || !grant.Accepted {
		f.t.Fatalf("grant a key: %+v: %v", grant.ChangeResult, err)
	}
	return grant
}
