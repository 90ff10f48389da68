package lots

import (
	"cmp"
	"slices"
)

// Order says which of the ready groups within the staleness bound a lot takes first.
type Order string

// Orders of a Spec. The empty Order means Oldest.
const (
	// OrderOldest takes the groups in the sequence in which they became ready, so that few become stale. Where more is
	// produced than taken, the age of the samples grows to the bound.
	OrderOldest Order = "oldest"
	// OrderFreshest takes the groups with the newest weight versions, and of those the ones that became ready last. The others
	// stay until they are taken or stale.
	OrderFreshest Order = "freshest"
)

// sort returns the groups in the order in which a lot takes them. ready is in key order and stays as it is.
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
