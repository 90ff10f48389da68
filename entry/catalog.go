package entry

import (
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Config provides the fleet configuration and its freshness. *configsync.Syncer implements it.
type Config interface {
	View() *fleetconfig.View
	// MayServeKeyed reports whether the view of the keys is fresh enough to serve keyed requests.
	MayServeKeyed(now time.Time) bool
	// Subscribe registers a function that is called with the objects of each change.
	Subscribe(func(changed []fleetconfig.Object))
}

// effectiveLimits returns the limits of a workspace and policy in the data centre of this entry.
func (e *Entry) effectiveLimits(view *fleetconfig.View, workspace, policy string) fleetconfig.Defaults {
	return view.Effective(fleetconfig.Scope{Workspace: workspace, Policy: policy, DataCentre: e.settings.DataCentre})
}
