// Package peer serves calls from entries and agents on the peer port of an entry, and selects the fleet state that
// entries exchange.
package peer

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/prefixindex"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Members is the local view of the fleet. *entry.Fleet implements it.
type Members interface {
	ApplyHeartbeat(report membership.Upstream, cache prefixindex.Event, suspects []quarantine.Suspect, now time.Time)
	ApplyRelayed(report membership.Upstream, age time.Duration, now time.Time)
	// ApplyRelayedPartial applies a report without the fields that are fixed for an incarnation. It returns false if the
	// incarnation is not known.
	ApplyRelayedPartial(report membership.Upstream, age time.Duration, now time.Time) bool
	ApplyEntryReport(e membership.Entry, age time.Duration, now time.Time)
	Upstreams(now time.Time) []membership.Upstream
	Suspects(now time.Time) []quarantine.Suspect
	MergeSuspects(suspects []quarantine.Suspect, now time.Time)
}

// Syncer exchanges the configuration with other entries. *configsync.Syncer implements it.
type Syncer interface {
	HandleSync(ctx context.Context, req *rpc.SyncRequest) (*rpc.SyncResponse, error)
	// Entries returns the other live entries, Info returns this one.
	Entries(now time.Time) []*rpc.EntryInfo
	Info(now time.Time) *rpc.EntryInfo
	View() *fleetconfig.View
}

// GroupHolder keeps copies of completed groups for peers. *lotstore.Store implements it.
type GroupHolder interface {
	HoldGroup(ctx context.Context, req *rpc.HoldGroupRequest) (*rpc.HoldGroupResponse, error)
	ReleaseGroup(ctx context.Context, req *rpc.ReleaseGroupRequest) (*rpc.ReleaseGroupResponse, error)
}

// QuotaServer grants shares of the workspace limits while this entry holds the quota role.
type QuotaServer interface {
	RequestQuota(ctx context.Context, req *rpc.QuotaRequest) (*rpc.QuotaResponse, error)
}

// FlushListener is notified of usage records that have become durable. *usage.Retainer implements it.
type FlushListener interface {
	Flushed(agent, incarnation string, throughSeq int64)
}

// Options configures a Server. Groups, Quota and Usage may be nil.
type Options struct {
	Name     string
	Syncer   Syncer
	Members  Members
	Roles    *RoleView
	Groups   GroupHolder
	Quota    QuotaServer
	Usage    FlushListener
	Log      zerolog.Logger
	Registry *telemetry.Registry
	// Now returns the current time. It defaults to time.Now.
	Now func() time.Time
}
