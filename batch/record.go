package batch

import (
	"time"

	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/placement"
)

// Record is the small stored row of a job. It holds everything that other processes need to know of the job.
type Record struct {
	// Host and PathPrefix name the route under which the job was submitted.
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Workspace  string `json:"workspace,omitempty"`
	Model      string `json:"model,omitempty"`
	MinVersion int64  `json:"min_version,omitempty"`
	// Owner and OwnerIncarnation name the process that runs the items; empty after the owner released the job.
	Owner            string `json:"owner,omitempty"`
	OwnerIncarnation string `json:"owner_incarnation,omitempty"`
	// Release is set while the job has no owner because the last one released it. Earlier releases of radishshelf set none.
	Release placement.Release `json:"release,omitzero"`
	// AcceptedBy is the incarnation that stored the job.
	AcceptedBy string `json:"accepted_by,omitempty"`
	// AcceptedAt is the time of acceptance on the store's clock.
	AcceptedAt time.Duration `json:"accepted_at"`
	// Due and Lifetime are relative to AcceptedAt.
	Due      time.Duration `json:"due,omitempty"`
	Lifetime time.Duration `json:"lifetime,omitempty"`
	// ConfigVersion is the configuration under which the job was accepted, and MaxAttempts and SingleVersion are limits of
	// its route in it. Records of earlier releases have none of them.
	ConfigVersion int64 `json:"config_version,omitempty"`
	MaxAttempts   int   `json:"max_attempts,omitempty"`
	SingleVersion bool  `json:"single_version,omitempty"`
	// RouteHomes and WorkspaceHomes are the regions of the route and of the workspace in that configuration.
	RouteHomes     homes.Regions `json:"route_homes,omitzero"`
	WorkspaceHomes homes.Regions `json:"workspace_homes,omitzero"`
	// AcceptedIn is the region of the host that accepted the job from its caller. Records of earlier releases have none.
	AcceptedIn string `json:"accepted_in,omitempty"`
	// Total is the number of items, and Listed the number of those with a listed result.
	Total  int `json:"total"`
	Listed int `json:"listed"`
	// Done has one bit for each item, in the order of the job's content, which is set once the item is listed. With it
	// a new owner need not read the results.
	Done Bitset `json:"done,omitempty"`
	// EnoughGroups is set once the listed items include all groups that the trainer waits for.
	EnoughGroups bool `json:"enough,omitempty"`
	// Chunks is the number of rows that hold the job's content.
	Chunks int  `json:"chunks"`
	Ended  bool `json:"ended,omitempty"`
}

// Open reports whether items of the job may still have to run.
func (r *Record) Open() bool { return !r.Ended && r.Listed < r.Total }

// Consistent reports whether the record is consistent in itself and with a job of this number of items. The items of a
// job with an inconsistent record must not run: an item that is already listed could be listed again.
func (r *Record) Consistent(items int) bool {
	return items == r.Total && r.Done.Count() == r.Listed && r.Done.Below(items).Count() == r.Listed
}

// OwnedBy reports whether a process owns the job.
func (r *Record) OwnedBy(host, incarnation string) bool {
	return r.Owner == host && r.OwnerIncarnation == incarnation
}
