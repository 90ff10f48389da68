package routing

import "time"

// Filter keeps the candidates C that may run a request R.
type Filter[R, C any] interface {
	// Name is the value of RemovedCount.Filter and the key in the log line.
	Name() string
	// Keep reports whether the candidate may run the request.
	Keep(req *R, c *C) bool
}

// Scorer estimates one component of the cost of running a request on a candidate.
type Scorer[R, C any] interface {
	// Name is the value of CostPart.Scorer and the key in the log line.
	Name() string
	// Cost is in the unit of the pipeline; lower is better, and a saving is negative.
	Cost(req *R, c *C, now time.Time) float64
}

// Pipeline chooses among candidates: filters remove those that must not run the request, scorers add up the costs of the
// others. All scorers of a pipeline have the same unit.
type Pipeline[R, C any] struct {
	Filters []Filter[R, C]
	Scorers []Scorer[R, C]
}

// CostPart is the cost from one scorer.
type CostPart struct {
	Scorer string
	Cost   float64
}

// Scored is a candidate with its cost.
type Scored[C any] struct {
	Candidate C
	Parts     []CostPart
	Total     float64
}

// RemovedCount is the number of candidates removed by one filter.
type RemovedCount struct {
	Filter string
	Count  int
}

// Keep returns the candidates that pass all filters, and for each filter that removed some, their number. A candidate
// counts for the first filter that removes it.
func (p *Pipeline[R, C]) Keep(req *R, candidates []C) (kept []*C, removed []RemovedCount) {
	counts := make([]int, len(p.Filters))
	kept = make([]*C, 0, len(candidates))
	for n := range candidates {
		if i := p.removedBy(req, &candidates[n]); i >= 0 {
			counts[i]++
			continue
		}
		kept = append(kept, &candidates[n])
	}
	for i, n := range counts {
		if n > 0 {
			removed = append(removed, RemovedCount{Filter: p.Filters[i].Name(), Count: n})
		}
	}
	return kept, removed
}

// removedBy returns the index of the first filter that removes a candidate, -1 if none does.
func (p *Pipeline[R, C]) removedBy(req *R, c *C) int {
	for i, f := range p.Filters {
		if !f.Keep(req, c) {
			return i
		}
	}
	return -1
}

// Score returns a candidate with the parts of its cost.
func (p *Pipeline[R, C]) Score(req *R, c *C, now time.Time) Scored[C] {
	s := Scored[C]{Candidate: *c, Parts: make([]CostPart, 0, len(p.Scorers))}
	for _, scorer := range p.Scorers {
		cost := scorer.Cost(req, c, now)
		s.Parts = append(s.Parts, CostPart{Scorer: scorer.Name(), Cost: cost})
		s.Total += cost
	}
	return s
}

// Cheapest returns the candidate with the lowest cost, the first of equal ones, or nil without candidates. It does not
// keep the parts of the costs.
func (p *Pipeline[R, C]) Cheapest(req *R, candidates []*C, now time.Time) *C {
	var best *C
	lowest := 0.0
	for _, c := range candidates {
		total := 0.0
		for _, scorer := range p.Scorers {
			total += scorer.Cost(req, c, now)
		}
		if best == nil || total < lowest {
			best, lowest = c, total
		}
	}
	return best
}
