package samples

import "slices"

// GroupBuilder assembles one group. The ids of its samples are fixed from the start. The first complete result for an
// id is kept, so hedged and repeated generations have no effect. It is not safe for concurrent use.
type GroupBuilder struct {
	group    Group
	filled   []bool
	missing  int
	discards []Discard
}

// NewGroupBuilder returns a builder for a group of the given number of samples.
func NewGroupBuilder(trainer, policy, group string, size int) *GroupBuilder {
	return &GroupBuilder{
		group:  Group{Trainer: trainer, Policy: policy, ID: group, Samples: make([]Sample, size)},
		filled: make([]bool, size), missing: size,
	}
}

// Add adds a complete generation and reports whether it was kept. Otherwise it records the discard and returns the
// reason; the id then stays missing unless the reason is ReasonDuplicate.
func (b *GroupBuilder) Add(g Generation) (Reason, bool) {
	reason := b.addSample(g)
	if reason != "" {
		b.Discard(SampleID(g.Group, g.Index), reason)
		return reason, false
	}
	return "", true
}

func (b *GroupBuilder) addSample(g Generation) Reason {
	if g.Group != b.group.ID || g.Index < 0 || g.Index >= len(b.filled) {
		return ReasonNotInGroup
	}
	if b.filled[g.Index] {
		return ReasonDuplicate
	}
	sample, reason := g.Sample()
	if reason != "" {
		return reason
	}
	b.group.Samples[g.Index] = sample
	b.filled[g.Index] = true
	b.missing--
	return ""
}

// Discard records a result that was not kept.
func (b *GroupBuilder) Discard(id string, reason Reason) {
	b.discards = append(b.discards, Discard{ID: id, Reason: reason})
}

// Missing returns the ids that have no complete result yet, in index order.
func (b *GroupBuilder) Missing() []string {
	var ids []string
	for i, found := range b.filled {
		if !found {
			ids = append(ids, SampleID(b.group.ID, i))
		}
	}
	return ids
}

// Complete reports whether every id has a complete result.
func (b *GroupBuilder) Complete() bool { return b.missing == 0 }

// Group returns the complete group, or false while samples are missing.
func (b *GroupBuilder) Group() (Group, bool) {
	if !b.Complete() {
		return Group{}, false
	}
	group := b.group
	group.Samples = slices.Clone(group.Samples)
	return group, true
}

// Discards returns the results that were not kept, in order of arrival.
func (b *GroupBuilder) Discards() []Discard { return slices.Clone(b.discards) }
