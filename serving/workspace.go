package serving

import "github.com/radishshelf/radishshelf/homes"

// Workspace is a customer that sends requests.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Homes restricts the regions in which requests of the workspace are served and kept.
	Homes homes.Regions
}
