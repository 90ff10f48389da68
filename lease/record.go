package lease

// Record is the stored content of a role's row.
type Record struct {
	// Holder is empty after a release, so that a challenger need not wait for the lease to expire.
	Holder string `json:"holder"`
	// Term increases by one with each change of holder and serves as the fencing token.
	Term int64 `json:"term"`
	// Renewal counts the renewals within the term.
	Renewal int64 `json:"renewal"`
}
