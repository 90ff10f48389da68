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

// Formation says what to do with the ready groups of a trainer at one step.
type Formation struct {
	// Discard are the groups that fail the staleness bound.
	Discard []DiscardedGroup
	// Take are the groups of the next lot, in the sequence in which they became ready; empty when too few are ready.
	Take []Ready
}

// Form chooses ready groups that pass the staleness bound, in the agreed order. The list is in key order and contains no
// group of an earlier lot. Groups are never split, so a lot may exceed the agreed size by less than its last group.
func Form(spec Spec, step int64, ready []Ready) Formation {
	var f Formation
	total, size := 0, 0
	full := false
	for _, r := range spec.Order.sort(ready) {
		if samples.Stale(step, r.Oldest, spec.MaxStaleness) {
			f.Discard = append(f.Discard, DiscardedGroup{Ready: r, Reason: samples.ReasonStale})
			continue
		}
		full = full || total >= spec.LotSamples || len(f.Take) == MaxGroups || size+r.Bytes > MaxBytes
		if full {
			continue
		}
		f.Take = append(f.Take, r)
		total += r.Samples
		size += r.Bytes
	}
	if !full && total < spec.LotSamples && len(f.Take) < MaxGroups {
		f.Take = nil
	}
	byKey := func(a, b Ready) int { return cmp.Compare(a.Key, b.Key) }
	slices.SortFunc(f.Take, byKey)
	slices.SortFunc(f.Discard, func(a, b DiscardedGroup) int { return byKey(a.Ready, b.Ready) })
	return f
}

// NewLot returns the lot of the taken groups that follows the last lot of the head, and the head after it. The object
// is filled in once the content is stored.
func (h Head) NewLot(trainer string, step int64, take []Ready, now time.Time) (Head, Lot) {
	h.Last++
	lot := Lot{Trainer: trainer, Number: h.Last, Step: step, Groups: take, FormedAt: now.UTC()}
	for _, r := range take {
		lot.Samples += r.Samples
		if lot.Oldest == 0 || r.Oldest < lot.Oldest {
			lot.Oldest = r.Oldest
		}
	}
	return h, lot
}

// Stale reports whether a sample of the lot exceeds the bound at a step.
func (l Lot) Stale(spec Spec, step int64) bool {
	return samples.Stale(step, l.Oldest, spec.MaxStaleness)
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
