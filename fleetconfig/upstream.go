package fleetconfig

// Values of Upstream.Kind.
const (
	UpstreamEngine  = "engine"
	UpstreamService = "service"
)

// Upstream is a back end together with the agent that runs beside it.
type Upstream struct {
	// AgentAddress is the IP address and port of the agent for requests, and ControlAddress the one for control calls.
	AgentAddress   string `json:"agent_address"`
	ControlAddress string `json:"control_address"`
	DataCentre     string `json:"data_centre"`
	Region         string `json:"region"`
	// Kind is UpstreamEngine or UpstreamService.
	Kind string `json:"kind"`
	// Serves is the policy of an engine or the service name of a plain service.
	Serves string `json:"serves"`
	// Draining is set if the upstream gets no new requests.
	Draining bool `json:"draining,omitempty"`
}
