package membership

import (
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
)

// Upstream is the state of one upstream as its agent reported it.
type Upstream struct {
	Name           string
	DataAddress    string
	ControlAddress string
	DataCentre     string
	Region         string
	// Kind is "engine" or "service"; Serves is the policy or service name.
	Kind   string
	Serves string
	// Incarnation names one run of the agent process.
	Incarnation string
	// ReportSeq orders the reports of one incarnation.
	ReportSeq int64
	Leaving   bool
	Healthy   bool
	// ActiveVersion is 0 while the version in the engine is unknown.
	ActiveVersion   int64
	StagedVersions  []int64
	Load            dataplane.Load
	UsageFlushedSeq int64
	// WeightsURL is the base URL from which other engines may copy weights; empty for a plain service.
	WeightsURL  string
	HighestTerm int64
	// ReportedAt is when the report arrived, or for a report passed on by a peer that time less its age.
	ReportedAt time.Time
	// ReportsDirectly is set when the agent reports to this entry itself. Membership computes it as it does Status.
	ReportsDirectly bool
	// Status is computed by Membership; it is ignored in reports.
	Status Status
}
