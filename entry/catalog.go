package entry

import (
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Config is the configuration of this entry and its freshness. *configsync.Syncer implements it.
type Config interface {
	View() *fleetconfig.View
	// MayServeKeyed reports whether the entry can still rely on its view of the keys.
	MayServeKeyed(now time.Time) bool
	Subscribe(func(changed []fleetconfig.Object))
}

// effectiveLimits returns the limits of a workspace and policy at this entry.
func (e *Entry) effectiveLimits(view *fleetconfig.View, workspace, policy string) fleetconfig.Defaults {
	return view.Effective(fleetconfig.Scope{Workspace: workspace, Policy: policy, DataCentre: e.settings.DataCentre})
}
