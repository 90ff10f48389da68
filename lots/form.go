package lots

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/samples"
)

// MaxGroups bounds the groups of one lot, so that its row stays below the table's limit of 1 MiB. A lot with so many
// groups is formed even if it has fewer samples than agreed.
const MaxGroups = 3000

// MaxBytes bounds the content of one lot below the object store's limit of 64 MiB. A lot is formed with fewer samples
// than agreed when the next group would exceed it.
const MaxBytes = 48 << 20

// Selection says what to do with the ready groups of a trainer at one step.
type Selection struct {
	// Discarded are the groups that fail the staleness bound.
	Discarded []DiscardedGroup
	// Selected are the groups of the next lot, in the sequence in which they became ready; empty when too few are ready.
	Selected []ReadyGroup
}

// SelectGroups chooses ready groups that pass the staleness bound, in the agreed order. The list is in key order and contains no
// group of an earlier lot. Groups are never split, so a lot may exceed the agreed size by less than its last group.
func SelectGroups(spec Spec, step int64, ready []ReadyGroup) Selection {
	var f Selection
	total, size := 0, 0
	full := false
	for _, r := range spec.Order.sort(ready) {
		if samples.Stale(step, r.OldestVersion, spec.MaxStaleness) {
			f.Discarded = append(f.Discarded, DiscardedGroup{ReadyGroup: r, Reason: samples.ReasonStale})
			continue
		}
		full = full || total >= spec.LotSamples || len(f.Selected) == MaxGroups || size+r.Bytes > MaxBytes
		if full {
			continue
		}
		f.Selected = append(f.Selected, r)
		total += r.Samples
		size += r.Bytes
	}
	if !full && total < spec.LotSamples && len(f.Selected) < MaxGroups {
		f.Selected = nil
	}
	byKey := func(a, b ReadyGroup) int { return cmp.Compare(a.Key, b.Key) }
	slices.SortFunc(f.Selected, byKey)
	slices.SortFunc(f.Discarded, func(a, b DiscardedGroup) int { return byKey(a.ReadyGroup, b.ReadyGroup) })
	return f
}

// NewLot returns the lot of the taken groups that follows the last lot of the head, and the head after it. The object
// is filled in once the content is stored.
func (h Head) NewLot(trainer string, step int64, take []ReadyGroup, now time.Time) (Head, Lot) {
	h.Last++
	lot := Lot{Trainer: trainer, Number: h.Last, Step: step, Groups: take, FormedAt: now.UTC()}
	for _, r := range take {
		lot.Samples += r.Samples
		if lot.OldestVersion == 0 || r.OldestVersion < lot.OldestVersion {
			lot.OldestVersion = r.OldestVersion
		}
	}
	return h, lot
}

// Stale reports whether a sample of the lot exceeds the bound at a step.
func (l Lot) Stale(spec Spec, step int64) bool {
	return samples.Stale(step, l.OldestVersion, spec.MaxStaleness)
}

// NewContent returns what the trainer receives. The groups are those of the lot, in its sequence.
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
