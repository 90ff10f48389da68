package fleetconfig

// Kinds of upstream.
const (
	UpstreamEngine  = "engine"
	UpstreamService = "service"
)

// Upstream is a back end and the agent beside it.
type Upstream struct {
	// AgentAddress is the data address of the agent, host:port.
	AgentAddress   string `json:"agent_address"`
	ControlAddress string `json:"control_address"`
	DataCentre     string `json:"data_centre"`
	Region         string `json:"region"`
	// Kind is UpstreamEngine or UpstreamService.
	Kind string `json:"kind"`
	// Serves is the policy of an engine or the service name of a plain service.
	Serves string `json:"serves"`
	// Draining upstreams get no new work.
	Draining bool `json:"draining,omitempty"`
}
