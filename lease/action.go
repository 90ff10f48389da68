package lease

import "fmt"

// ActionKind is the kind of an action that the driver has to perform.
type ActionKind int

const (
	// ActionRead asks the driver to read the row and call Observed or Failed.
	ActionRead ActionKind = iota
	// ActionWrite asks the driver to write Record on condition of Revision and call Written, Rejected or Failed.
	ActionWrite
	// ActionAcquired reports that the role is held under Record.Term from now on.
	ActionAcquired
	// ActionLost reports that the role is no longer held under Record.Term.
	ActionLost
)

// Action is an instruction to the driver.
type Action struct {
	Kind   ActionKind
	Record Record
	// Revision is the row revision that a write replaces; 0 means that the row must be absent.
	Revision int64
}

// String returns the form used in the golden files.
func (a Action) String() string {
	switch a.Kind {
	case ActionRead:
		return "read"
	case ActionWrite:
		return fmt.Sprintf("write holder=%q term=%d renewal=%d if revision=%d",
			a.Record.Holder, a.Record.Term, a.Record.Renewal, a.Revision)
	case ActionAcquired:
		return fmt.Sprintf("acquired term=%d", a.Record.Term)
	default:
		return fmt.Sprintf("lost term=%d", a.Record.Term)
	}
}
