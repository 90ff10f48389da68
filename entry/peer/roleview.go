package peer

import (
	"cmp"
	"slices"
	"sync"

	"github.com/radishshelf/radishshelf/rpc"
)

// maxRoles bounds the roles that peers may report.
const maxRoles = 64

// RoleView is the highest term known of each role, from this entry and its peers. It is a hint for finding the holder;
// it gives no authority.
type RoleView struct {
	local func() []*rpc.RoleInfo

	mu    sync.Mutex
	known map[string]*rpc.RoleInfo
}

// NewRoleView returns a view that includes what own reports; own may be nil.
func NewRoleView(own func() []*rpc.RoleInfo) *RoleView {
	return &RoleView{local: own, known: map[string]*rpc.RoleInfo{}}
}

// Merge takes the roles that a peer reports.
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

// Roles returns the roles in name order.
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

// mergeLocal takes a role that this entry read from the table; at the same term it is newer than what peers report, for
// example after a release.
func (v *RoleView) mergeLocal(role *rpc.RoleInfo) {
	if known, ok := v.known[role.GetRole()]; ok && role.GetTerm() == known.GetTerm() {
		v.known[role.GetRole()] = role
		return
	}
	v.merge(role)
}

// Holder returns the holder of a role as "<name>/<incarnation>".
func (v *RoleView) Holder(role string) (string, bool) {
	for _, r := range v.Roles() {
		if r.GetRole() == role && r.GetHolder() != "" {
			return r.GetHolder(), true
		}
	}
	return "", false
}
