package routing

import (
	"fmt"
	"strings"
)

// ScoredCandidate is a sampled candidate with its cost in seconds.
type ScoredCandidate = Scored[Candidate]

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
