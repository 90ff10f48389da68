package operatorapi

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/configsync"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/operatorclient"
	"github.com/radishshelf/radishshelf/rpc"
)

// ConfigWriter changes configuration objects; configstore.Store implements it.
type ConfigWriter interface {
	Write(ctx context.Context, kind fleetconfig.Kind, name string, value any, expected int64) (revision int64, err error)
	Delete(ctx context.Context, kind fleetconfig.Kind, name string, expected int64) (revision int64, err error)
}

// ConfigReader reads the configuration of this entry and how far the other entries have applied it; configsync.Syncer
// implements it.
type ConfigReader interface {
	View() *fleetconfig.View
	AwaitPropagation(ctx context.Context, revision int64) configsync.Propagation
	Info(now time.Time) *rpc.EntryInfo
	Entries(now time.Time) []*rpc.EntryInfo
}

// HostSource lists the hosts.
type HostSource interface {
	HostStatus(ctx context.Context) ([]operatorclient.HostStatus, error)
}

// RoleSource lists the leased roles.
type RoleSource interface {
	RoleStatus(ctx context.Context) ([]operatorclient.RoleStatus, error)
}

// UsageSource lists the usage windows.
type UsageSource interface {
	UsageWindows(ctx context.Context) ([]operatorclient.UsageWindow, error)
}

// VersionSource lists the weight versions.
type VersionSource interface {
	VersionStatus(ctx context.Context) ([]operatorclient.VersionStatus, error)
}

// DecisionSource returns the routing decision of a recent request as a value that can be encoded as JSON.
type DecisionSource interface {
	Decision(requestID string) (decision any, ok bool)
}

// KeyUseSource reports when a key was last used at this entry.
type KeyUseSource interface {
	LastUse(keyID string) (at time.Time, ok bool)
}
