package membership

// Role is the kind of program that runs on a host.
type Role int

const (
	// RoleEntry hosts run radishshelf-entry.
	RoleEntry Role = iota
	// RoleUpstream hosts run an upstream and its agent.
	RoleUpstream
)

// Host is one element of the platform's host list, which lags behind the actual state.
type Host struct {
	Name string
	Role Role
	// Address is the peer address of an entry or the data address of an agent.
	Address    string
	DataCentre string
	Region     string
}

// SetHosts replaces the list of candidates. It does not affect the status of processes that have reported.
func (m *Membership) SetHosts(hosts []Host) {
	m.hosts = make(map[string]Host, len(hosts))
	m.sortedNameCache = nil
	for _, h := range hosts {
		m.hosts[h.Name] = h
	}
}
