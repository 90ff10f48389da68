package lots

import (
	"cmp"
	"slices"
)

// Order is the order in which ready groups within the staleness bound are selected for a lot.
type Order string

// Values of Spec.Order. The empty value means OrderOldest.
const (
	// OrderOldest selects groups in the order in which they became ready, so that few become stale. When samples are
	// produced faster than they are consumed, their staleness grows to the bound.
	OrderOldest Order = "oldest"
	// OrderFreshest selects groups with the newest weight versions first and, among equal versions, those that became
	// ready last. The others stay ready until they are selected or become stale.
	OrderFreshest Order = "freshest"
)

// sort returns the groups in selection order. ready must be sorted by key and is not modified.
func (o Order) sort(ready []ReadyGroup) []ReadyGroup {
	if o != OrderFreshest {
		return ready
	}
	sorted := slices.Clone(ready)
	slices.SortFunc(sorted, func(a, b ReadyGroup) int {
		if c := cmp.Compare(b.OldestVersion, a.OldestVersion); c != 0 {
			return c
		}
		return cmp.Compare(b.Key, a.Key)
	})
	return sorted
}
