package batch

import "time"

// Record is the small row of a job in the store. Everything that other processes must know of a job is in it.
type Record struct {
	// Host and PathPrefix name the route under which the job was handed in.
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Workspace  string `json:"workspace,omitempty"`
	Model      string `json:"model,omitempty"`
	MinVersion int64  `json:"min_version,omitempty"`
	// Owner and OwnerIncarnation name the process that runs the items; empty when the owner gave the job up.
	Owner            string `json:"owner,omitempty"`
	OwnerIncarnation string `json:"owner_incarnation,omitempty"`
	// AcceptedBy is the incarnation that stored the job.
	AcceptedBy string `json:"accepted_by,omitempty"`
	// AcceptedAt is the store's clock at the acceptance.
	AcceptedAt time.Duration `json:"accepted_at"`
	// Due and Lifetime count from AcceptedAt.
	Due      time.Duration `json:"due,omitempty"`
	Lifetime time.Duration `json:"lifetime,omitempty"`
	// Total is the number of items and Listed how many of them have a result.
	Total  int `json:"total"`
	Listed int `json:"listed"`
	// Done has a bit for each item, in the order of the job's content, that is set once the item is listed. With it a
	// successor need not read the results.
	Done Bitset `json:"done,omitempty"`
	// EnoughGroups is set once the listed items hold all groups that the trainer waits for.
	EnoughGroups bool `json:"enough,omitempty"`
	// Chunks is the number of rows that hold the content.
	Chunks int  `json:"chunks"`
	Ended  bool `json:"ended,omitempty"`
}

// Open reports whether items of the job may still have to run.
func (r *Record) Open() bool { return !r.Ended && r.Listed < r.Total }

// Consistent reports whether the record agrees with itself and with a job of so many items. The items of a job whose record does not
// must not be run: one that is listed already could be listed again.
func (r *Record) Consistent(items int) bool {
	return items == r.Total && r.Done.Count() == r.Listed && r.Done.Below(items).Count() == r.Listed
}

// OwnedBy reports whether the process is the owner of the job.
func (r *Record) OwnedBy(host, incarnation string) bool {
	return r.Owner == host && r.OwnerIncarnation == incarnation
}
