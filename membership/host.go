package membership

// Role says which program runs on a host.
type Role int

const (
	// RoleEntry hosts run radishshelf-entry.
	RoleEntry Role = iota
	// RoleUpstream hosts run an upstream and its agent.
	RoleUpstream
)

// Host is one line of the lagging host list.
type Host struct {
	Name string
	Role Role
	// Address is the peer address of an entry or the data address of an agent.
	Address    string
	DataCentre string
	Region     string
}

// SetHosts replaces the list of candidates. Processes that report keep their status whether or not they are listed.
func (m *Membership) SetHosts(hosts []Host) {
	m.hosts = make(map[string]Host, len(hosts))
	m.sortedNameCache = nil
	for _, h := range hosts {
		m.hosts[h.Name] = h
	}
}
