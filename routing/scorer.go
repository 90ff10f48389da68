package routing

import "time"

// Scorer estimates one component of the cost of running a request on a candidate.
type Scorer interface {
	// Name is the value of CostPart.Scorer and the key in the log line.
	Name() string
	// Cost is in seconds; lower is better, and a saving is negative.
	Cost(req *Request, c *Candidate, now time.Time) float64
}
