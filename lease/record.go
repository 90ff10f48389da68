package lease

// Record is the content of a role's row.
type Record struct {
	// Holder is empty after a release, so that a challenger need not wait.
	Holder string `json:"holder"`
	// Term grows by one with each change of holder and serves as the fencing number.
	Term int64 `json:"term"`
	// Renewal counts the renewals within the term.
	Renewal int64 `json:"renewal"`
}
