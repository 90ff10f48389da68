package operatorclient

// EntryStatus is a live entry as the queried one sees it.
type EntryStatus struct {
	Name            string `json:"name"`
	PeerAddress     string `json:"peer_address"`
	DataCentre      string `json:"data_centre"`
	Region          string `json:"region"`
	Leaving         bool   `json:"leaving"`
	AppliedRevision int64  `json:"applied_revision"`
	// ConfirmationAgeMs is the age of the last confirmation of the configuration by the table; -1 when there was none.
	ConfirmationAgeMs int64 `json:"confirmation_age_ms"`
}

// HostStatus is a host as the entries and the platform report it.
type HostStatus struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Role is "entry" or "upstream".
	Role string `json:"role"`
	// State is "live", "leaving", "suspect" or "gone".
	State string `json:"state"`
	// Detail says why the host is in that state.
	Detail string `json:"detail,omitempty"`
	// Policy and ActiveVersion are set for engines.
	Policy        string `json:"policy,omitempty"`
	ActiveVersion int64  `json:"active_version,omitempty"`
}

// RoleStatus is the state of a leased role.
type RoleStatus struct {
	Role   string `json:"role"`
	Holder string `json:"holder,omitempty"`
	Term   int64  `json:"term"`
	// Acting is set when the queried entry holds the role and may act.
	Acting bool `json:"acting"`
}

// UsageWindow is the state of a usage window.
type UsageWindow struct {
	// Window is the start in RFC 3339, UTC.
	Window string `json:"window"`
	// State is "open", "closing", "sealed" or "reported".
	State string `json:"state"`
	// Workspaces and Reported count the workspaces of a sealed window and those reported so far.
	Workspaces int `json:"workspaces"`
	Reported   int `json:"reported"`
}

// VersionStatus is the state of the weight rollout of one policy. Version is 0 before the first rollout.
type VersionStatus struct {
	Policy   string `json:"policy"`
	Version  int64  `json:"version"`
	Phase    string `json:"phase"`
	Previous int64  `json:"previous"`
	// Staged and Active count the engines that hold and that serve the version, out of Engines.
	Staged  int `json:"staged"`
	Active  int `json:"active"`
	Engines int `json:"engines"`
	// Upstreams are the engines in name order.
	Upstreams []UpstreamVersion `json:"upstreams"`
}

// UpstreamVersion holds the weight versions that one engine serves and has staged.
type UpstreamVersion struct {
	Upstream string `json:"upstream"`
	// Active is 0 while the version that the engine serves is unknown.
	Active int64   `json:"active"`
	Staged []int64 `json:"staged,omitempty"`
}
