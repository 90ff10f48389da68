package roles

// Names of the leased roles.
const (
	Orders  = "orders"
	Usage   = "usage"
	Rollout = "rollout"
	Quota   = "quota"
)

// All returns the names of all leased roles.
func All() []string { return []string{Orders, Usage, Rollout, Quota} }

// RowKey returns the key of the lease row of role.
func RowKey(role string) string { return "lease/" + role }
