package roles

// Info is the last known state of a role, for operators and for peers that cannot reach the table.
type Info struct {
	Role string `json:"role"`
	// Holder is "<name>/<incarnation>", or empty after the role was released.
	Holder string `json:"holder"`
	Term   int64  `json:"term"`
	// Held is true if this process may act for the role.
	Held bool `json:"held"`
}
