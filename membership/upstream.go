package membership

import (
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
)

// Upstream is the state of one upstream as last reported by its agent.
type Upstream struct {
	Name           string
	DataAddress    string
	ControlAddress string
	DataCentre     string
	Region         string
	// Kind is "engine" or "service"; Serves is the policy or service name.
	Kind   string
	Serves string
	// Incarnation identifies one run of the agent process.
	Incarnation string
	// ReportSeq orders the reports of one incarnation.
	ReportSeq int64
	Leaving   bool
	Healthy   bool
	// ActiveVersion is the weight version loaded in the engine, or 0 while it is unknown.
	ActiveVersion   int64
	StagedVersions  []int64
	Load            dataplane.Load
	UsageFlushedSeq int64
	// WeightsURL is the base URL from which other engines can copy weights. It is empty for a plain service.
	WeightsURL  string
	HighestTerm int64
	// ReportedAt is the time at which the report arrived, minus its age if a peer relayed it.
	ReportedAt time.Time
	// ReportsDirectly is set if the agent sends its reports directly to this entry. Like Status, it is computed by
	// Membership and ignored in reports.
	ReportsDirectly bool
	// Status is computed by Membership and ignored in reports.
	Status Status
}
