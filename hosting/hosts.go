package hosting

import "context"

// HostState is the state of a host in the platform's list.
type HostState string

const (
	// HostLive is the state of a running host.
	HostLive HostState = "live"
	// HostLeaving is the state of a host that will be stopped.
	HostLeaving HostState = "leaving"
)

// HostRole is which program runs on a host.
type HostRole string

const (
	// HostEntry is the role of a host that runs radishshelf-entry.
	HostEntry HostRole = "entry"
	// HostUpstream is the role of a host that runs an upstream and its radishshelf-agent.
	HostUpstream HostRole = "upstream"
)

// Host is one entry of the platform's host list, which lags by tens of seconds.
type Host struct {
	Name string `json:"name"`
	// Address is the entry's peer address or the agent's data address, as host:port.
	Address    string    `json:"address"`
	DataCentre string    `json:"data_centre"`
	Region     string    `json:"region"`
	Role       HostRole  `json:"role"`
	State      HostState `json:"state"`
}

// Hosts provides the lagging list of live and leaving hosts.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}
