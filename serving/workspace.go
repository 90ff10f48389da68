package serving

// Workspace is a customer that sends requests.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}
