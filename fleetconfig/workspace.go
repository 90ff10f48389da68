package fleetconfig

// Workspace is a customer of the service.
type Workspace struct {
	// Policies and Routes are those that the workspace may use; empty means all.
	Policies []string `json:"policies,omitempty"`
	Routes   []string `json:"routes,omitempty"`
	// TokensPerSecond is the limit across all entries; 0 means the fleet default.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Weight is the relative share of capacity under overload; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
}
