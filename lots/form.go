package lots

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/samples"
)

// MaxGroups limits the groups in one lot so that its row stays below the table's limit of 1 MiB. A lot that reaches the
// limit is formed even if it has fewer than LotSamples samples.
const MaxGroups = 3000

// MaxBytes limits the size of the groups in one lot so that its content stays below the object store's limit of 64 MiB.
// A lot is formed with fewer than LotSamples samples when the next group would exceed it.
const MaxBytes = 48 << 20

// Selection is the result of SelectGroups: the ready groups to discard and those that form the next lot.
type Selection struct {
	// Discarded are the groups that exceed the staleness bound.
	Discarded []DiscardedGroup
	// Selected are the groups of the next lot, in the order in which they became ready. It is empty when too few samples
	// are ready.
	Selected []ReadyGroup
}

// SelectGroups selects the groups of the next lot, in the order given by spec, from those within the staleness bound at
// step. ready must be sorted by key and must not contain groups of earlier lots. Groups are never split, so a lot may
// exceed LotSamples by less than the size of its last group.
func SelectGroups(spec Spec, step int64, ready []ReadyGroup) Selection {
	var selection Selection
	total, size := 0, 0
	full := false
	for _, r := range spec.Order.sort(ready) {
		if samples.Stale(step, r.OldestVersion, spec.MaxStaleness) {
			selection.Discarded = append(selection.Discarded, DiscardedGroup{ReadyGroup: r, Reason: samples.ReasonStale})
			continue
		}
		full = full || total >= spec.LotSamples || len(selection.Selected) == MaxGroups || size+r.Bytes > MaxBytes
		if full {
			continue
		}
		selection.Selected = append(selection.Selected, r)
		total += r.Samples
		size += r.Bytes
	}
	if !full && total < spec.LotSamples && len(selection.Selected) < MaxGroups {
		selection.Selected = nil
	}
	byKey := func(a, b ReadyGroup) int { return cmp.Compare(a.Key, b.Key) }
	slices.SortFunc(selection.Selected, byKey)
	slices.SortFunc(selection.Discarded, func(a, b DiscardedGroup) int { return byKey(a.ReadyGroup, b.ReadyGroup) })
	return selection
}

// NewLot returns the updated head and a new lot, numbered after the last one, that contains the given groups. The
// caller sets Lot.Object after it has stored the content.
func (h Head) NewLot(trainer string, step int64, groups []ReadyGroup, now time.Time) (Head, Lot) {
	h.Last++
	lot := Lot{Trainer: trainer, Number: h.Last, Step: step, Groups: groups, FormedAt: now.UTC()}
	for _, r := range groups {
		lot.Samples += r.Samples
		if lot.OldestVersion == 0 || r.OldestVersion < lot.OldestVersion {
			lot.OldestVersion = r.OldestVersion
		}
	}
	return h, lot
}

// Stale reports whether a sample in the lot exceeds the staleness bound at the given step.
func (l Lot) Stale(spec Spec, step int64) bool {
	return samples.Stale(step, l.OldestVersion, spec.MaxStaleness)
}

// NewContent builds the content of a lot. groups must be the groups of the lot in the same order.
func NewContent(lot Lot, groups []samples.Group) Content {
	c := Content{Trainer: lot.Trainer, Number: lot.Number, Step: lot.Step}
	seen := map[int64]bool{}
	for _, g := range groups {
		c.Samples = append(c.Samples, g.Samples...)
		for _, s := range g.Samples {
			for _, span := range s.Spans {
				seen[span.Version] = true
			}
		}
	}
	c.Versions = slices.Sorted(maps.Keys(seen))
	return c
}
