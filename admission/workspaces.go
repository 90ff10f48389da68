package admission

import (
	"maps"
	"slices"
)

// workspaces returns the workspaces in order, so that equal inputs give equal outputs.
func (q *Queue) workspaces() []string {
	return slices.Sorted(maps.Keys(q.flows))
}
