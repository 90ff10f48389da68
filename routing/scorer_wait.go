package routing

import "time"

// WaitScorer estimates how long an upstream needs for the work it already has.
//
// A load report covers all entries but lags; this entry's own attempts are current but cover one entry. Own attempts
// sent after the report are added to it, and the weight of the report decreases linearly with its age, so that an
// upstream that was busy seconds ago is not avoided forever.
type WaitScorer struct {
	InFlight               *InFlight
	MaxReportAge           time.Duration
	DefaultTokensPerSecond float64
}

// Name implements Scorer.
func (WaitScorer) Name() string { return "wait" }

// Cost implements Scorer.
func (s WaitScorer) Cost(_ *Request, c *Candidate, now time.Time) float64 {
	own, sentAfter := s.InFlight.Tokens(c.Name, c.ReportedAt)
	reported := float64(c.PendingTokens) * s.reportWeight(c.ReportedAt, now)
	pending := max(float64(own), reported+float64(sentAfter))
	return pending / s.rate(c)
}

// rate returns the estimated generation rate under load. The reported rate of an upstream with free slots can be low
// for lack of work, so DefaultTokensPerSecond is its lower limit.
func (s WaitScorer) rate(c *Candidate) float64 {
	if c.TokensPerSecond > 0 && c.Slots > 0 && c.Running >= c.Slots {
		return c.TokensPerSecond
	}
	return max(c.TokensPerSecond, s.DefaultTokensPerSecond)
}

// reportWeight returns 1 for a report made now, decreasing to 0 at MaxReportAge.
func (s WaitScorer) reportWeight(reportedAt, now time.Time) float64 {
	if reportedAt.IsZero() || s.MaxReportAge <= 0 {
		return 0
	}
	age := max(0, now.Sub(reportedAt))
	return max(0, 1-age.Seconds()/s.MaxReportAge.Seconds())
}
