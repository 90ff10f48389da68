package roles

// Info is the last known state of a role, for operators and for peers without a table connection.
type Info struct {
	Role string `json:"role"`
	// Holder is "<name>/<incarnation>", empty after a release.
	Holder string `json:"holder"`
	Term   int64  `json:"term"`
	// Held is true when this process may act for the role now.
	Held bool `json:"held"`
}
