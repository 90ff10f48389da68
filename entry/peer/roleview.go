package peer

import (
	"cmp"
	"slices"
	"sync"

	"github.com/radishshelf/radishshelf/rpc"
)

// maxRoles limits the number of roles that peers can add.
const maxRoles = 64

// RoleView tracks the highest known term of each role, as seen by this entry and its peers. It is a hint for finding
// the holder and does not prove that the holder still has the role.
type RoleView struct {
	local func() []*rpc.RoleInfo

	mu    sync.Mutex
	known map[string]*rpc.RoleInfo
}

// NewRoleView returns a view that includes the roles returned by local, which may be nil.
func NewRoleView(own func() []*rpc.RoleInfo) *RoleView {
	return &RoleView{local: own, known: map[string]*rpc.RoleInfo{}}
}

// Merge adds the roles that a peer reports.
func (v *RoleView) Merge(roles []*rpc.RoleInfo) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, role := range roles {
		v.merge(role)
	}
}

func (v *RoleView) merge(role *rpc.RoleInfo) {
	known, ok := v.known[role.GetRole()]
	if !ok && len(v.known) >= maxRoles || role.GetRole() == "" {
		return
	}
	if !ok || role.GetTerm() > known.GetTerm() {
		v.known[role.GetRole()] = role
	}
}

// Roles returns the known roles, sorted by name.
func (v *RoleView) Roles() []*rpc.RoleInfo {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.local != nil {
		for _, role := range v.local() {
			v.mergeLocal(role)
		}
	}
	list := make([]*rpc.RoleInfo, 0, len(v.known))
	for _, role := range v.known {
		list = append(list, role)
	}
	slices.SortFunc(list, func(a, b *rpc.RoleInfo) int { return cmp.Compare(a.GetRole(), b.GetRole()) })
	return list
}

// mergeLocal adds a role that this entry read from the table. At the same term it takes precedence over the reports of
// peers, which may be older, for example after the role was released.
func (v *RoleView) mergeLocal(role *rpc.RoleInfo) {
	if known, ok := v.known[role.GetRole()]; ok && role.GetTerm() == known.GetTerm() {
		v.known[role.GetRole()] = role
		return
	}
	v.merge(role)
}

// Holder returns the holder of a role as "<name>/<incarnation>", or false if none is known.
func (v *RoleView) Holder(role string) (string, bool) {
	for _, r := range v.Roles() {
		if r.GetRole() == role && r.GetHolder() != "" {
			return r.GetHolder(), true
		}
	}
	return "", false
}
