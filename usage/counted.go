package usage

import (
	"cmp"
	"slices"
	"time"
)

// CountedProcess holds the sequence numbers of one agent incarnation that some sealed window has counted.
type CountedProcess struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Ranges      Ranges `json:"ranges"`
	// LastWindow is the latest window in which a batch of the incarnation was sealed.
	LastWindow time.Time `json:"last_window"`
}

// Counted is what earlier windows have counted. It is carried from seal to seal, because the same record may arrive
// again in a later window: from an entry that recovers what a dead agent had flushed, or from an agent that was
// declared dead too early.
type Counted struct {
	Processes []CountedProcess `json:"processes"`
}

// Prune drops the incarnations whose last batch is in a window before the given time.
func (c Counted) Prune(before time.Time) Counted {
	kept := make([]CountedProcess, 0, len(c.Processes))
	for _, p := range c.Processes {
		if !p.LastWindow.Before(before) {
			kept = append(kept, p)
		}
	}
	return Counted{Processes: kept}
}

func (c Counted) index() map[process]*CountedProcess {
	known := make(map[process]*CountedProcess, len(c.Processes))
	for _, p := range c.Processes {
		p.Ranges = slices.Clone(p.Ranges)
		known[process{p.Agent, p.Incarnation}] = &p
	}
	return known
}

func countedOf(known map[process]*CountedProcess) Counted {
	c := Counted{Processes: make([]CountedProcess, 0, len(known))}
	for _, p := range known {
		c.Processes = append(c.Processes, *p)
	}
	slices.SortFunc(c.Processes, func(a, b CountedProcess) int {
		return cmp.Or(cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return c
}
