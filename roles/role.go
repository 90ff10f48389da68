package roles

// Names of the leased roles.
const (
	Orders  = "orders"
	Usage   = "usage"
	Rollout = "rollout"
	Quota   = "quota"
)

// All lists the leased roles.
func All() []string { return []string{Orders, Usage, Rollout, Quota} }

// RowKey returns the table key of a role's lease row.
func RowKey(role string) string { return "lease/" + role }
