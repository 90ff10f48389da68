package admission

import (
	"maps"
	"slices"
)

// workspaces returns the workspaces in sorted order, so that results are deterministic.
func (q *Queue) workspaces() []string {
	return slices.Sorted(maps.Keys(q.flows))
}
