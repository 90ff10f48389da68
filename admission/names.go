package admission

import (
	"maps"
	"slices"
)

// names returns the workspaces in order, so that equal inputs give equal outputs.
func (q *Queue) names() []string {
	return slices.Sorted(maps.Keys(q.flows))
}
