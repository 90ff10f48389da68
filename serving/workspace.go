package serving

// Workspace is a tenant of the configuration.
type Workspace struct {
	Name string
	// Priority takes precedence over the priority of the route when HasPriority is set.
	Priority    int
	HasPriority bool
}
