package routing

import "time"

// WaitScorer estimates how long an upstream needs for the work it already has.
//
// The report covers all entries but lags; the own requests are current but cover one entry. Own requests sent after
// the report are added to it, and the report loses weight linearly with its age, so that an upstream that was busy
// seconds ago is not avoided for ever.
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

// rate is the generation rate under load. The recent rate of an upstream with free slots shows how little work it had,
// not how much it can do.
func (s WaitScorer) rate(c *Candidate) float64 {
	if c.TokensPerSecond > 0 && c.Slots > 0 && c.Running >= c.Slots {
		return c.TokensPerSecond
	}
	return max(c.TokensPerSecond, s.DefaultTokensPerSecond)
}

// reportWeight is 1 for a report made now and 0 for one of MaxReportAge or older.
func (s WaitScorer) reportWeight(reportedAt, now time.Time) float64 {
	if reportedAt.IsZero() || s.MaxReportAge <= 0 {
		return 0
	}
	age := max(0, now.Sub(reportedAt))
	return max(0, 1-age.Seconds()/s.MaxReportAge.Seconds())
}
