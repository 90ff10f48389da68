package usage

import (
	"cmp"
	"slices"
	"time"
)

// CountedIncarnation holds the sequence numbers of one agent incarnation that some sealed window has counted.
type CountedIncarnation struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Ranges      Ranges `json:"ranges"`
	// LastWindow is the latest window in which a batch of the incarnation was sealed.
	LastWindow time.Time `json:"last_window"`
}

// DedupState is what earlier windows have counted. It is carried from seal to seal, because the same record may arrive
// again in a later window: from an entry that recovers what a dead agent had flushed, or from an agent that was
// declared dead too early.
type DedupState struct {
	Processes []CountedIncarnation `json:"processes"`
}

// Prune drops the incarnations whose last batch is in a window before the given time.
func (c DedupState) Prune(before time.Time) DedupState {
	kept := make([]CountedIncarnation, 0, len(c.Processes))
	for _, p := range c.Processes {
		if !p.LastWindow.Before(before) {
			kept = append(kept, p)
		}
	}
	return DedupState{Processes: kept}
}

func (c DedupState) byIncarnation() map[incarnationKey]*CountedIncarnation {
	index := make(map[incarnationKey]*CountedIncarnation, len(c.Processes))
	for _, p := range c.Processes {
		p.Ranges = slices.Clone(p.Ranges)
		index[incarnationKey{p.Agent, p.Incarnation}] = &p
	}
	return index
}

func newDedupState(index map[incarnationKey]*CountedIncarnation) DedupState {
	c := DedupState{Processes: make([]CountedIncarnation, 0, len(index))}
	for _, p := range index {
		c.Processes = append(c.Processes, *p)
	}
	slices.SortFunc(c.Processes, func(a, b CountedIncarnation) int {
		return cmp.Or(cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return c
}
