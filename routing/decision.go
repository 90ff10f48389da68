package routing

import (
	"fmt"
	"strings"
)

// CostPart is the cost in seconds from one scorer.
type CostPart struct {
	Scorer string
	Cost   float64
}

// ScoredCandidate is a sampled candidate with its cost.
type ScoredCandidate struct {
	Candidate Candidate
	Parts     []CostPart
	Total     float64
}

// RemovedCount is the number of candidates removed by one filter.
type RemovedCount struct {
	Filter string
	Count  int
}

// Decision is the choice of an upstream with the data that explains it.
type Decision struct {
	RequestID  string
	Chosen     Candidate
	Candidates int
	Removed    []RemovedCount
	// Sampled holds the compared candidates, lowest cost first.
	Sampled []ScoredCandidate
}

// String returns the decision as one line of key=value pairs.
func (d Decision) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request=%s chosen=%s candidates=%d", d.RequestID, d.Chosen.Name, d.Candidates)
	for _, r := range d.Removed {
		fmt.Fprintf(&b, " removed.%s=%d", r.Filter, r.Count)
	}
	for _, s := range d.Sampled {
		fmt.Fprintf(&b, " cost.%s=%.3f(", s.Candidate.Name, s.Total)
		for i, p := range s.Parts {
			if i > 0 {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, "%s:%.3f", p.Scorer, p.Cost)
		}
		b.WriteByte(')')
	}
	return b.String()
}
