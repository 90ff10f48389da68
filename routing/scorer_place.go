package routing

import "time"

// PlaceScorer adds the cost of delay and billed traffic for leaving the entry's data centre or region.
type PlaceScorer struct {
	DataCentre           string
	Region               string
	CrossDataCentreCost  time.Duration
	CrossRegionCost      time.Duration
	CrossRegionCostPerMB time.Duration
}

const bytesPerMB = 1e6

// Name implements Scorer.
func (PlaceScorer) Name() string { return "place" }

// Cost implements Scorer.
func (s PlaceScorer) Cost(req *Request, c *Candidate, _ time.Time) float64 {
	if c.Region != s.Region {
		return s.CrossRegionCost.Seconds() + float64(req.Bytes)/bytesPerMB*s.CrossRegionCostPerMB.Seconds()
	}
	if c.DataCentre != s.DataCentre {
		return s.CrossDataCentreCost.Seconds()
	}
	return 0
}
