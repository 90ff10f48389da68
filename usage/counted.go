package usage

import (
	"cmp"
	"slices"
	"time"
)

// CountedIncarnation holds the sequence numbers of one agent incarnation that sealed windows have counted.
type CountedIncarnation struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Ranges      Ranges `json:"ranges"`
	// LastWindow is the start of the latest sealed window that holds a batch of the incarnation.
	LastWindow time.Time `json:"last_window"`
}

// DedupState lists the records that earlier windows have counted. Each seal passes it on to the next one, because a
// record may arrive again in a later window: from an entry that recovers records which a dead agent had flushed, or
// from an agent that was declared dead too early.
type DedupState struct {
	Incarnations []CountedIncarnation `json:"processes"`
}

// Prune returns the state without the incarnations whose last batch is in a window that starts before the given time.
func (c DedupState) Prune(before time.Time) DedupState {
	kept := make([]CountedIncarnation, 0, len(c.Incarnations))
	for _, p := range c.Incarnations {
		if !p.LastWindow.Before(before) {
			kept = append(kept, p)
		}
	}
	return DedupState{Incarnations: kept}
}

func (c DedupState) byIncarnation() map[incarnationKey]*CountedIncarnation {
	index := make(map[incarnationKey]*CountedIncarnation, len(c.Incarnations))
	for _, p := range c.Incarnations {
		p.Ranges = slices.Clone(p.Ranges)
		index[incarnationKey{p.Agent, p.Incarnation}] = &p
	}
	return index
}

func newDedupState(index map[incarnationKey]*CountedIncarnation) DedupState {
	c := DedupState{Incarnations: make([]CountedIncarnation, 0, len(index))}
	for _, p := range index {
		c.Incarnations = append(c.Incarnations, *p)
	}
	slices.SortFunc(c.Incarnations, func(a, b CountedIncarnation) int {
		return cmp.Or(cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return c
}
