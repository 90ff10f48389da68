package routing

import "time"

// Config holds the constants of a Router. Use DefaultConfig and set the place of the entry.
type Config struct {
	// DataCentre and Region are where the entry runs.
	DataCentre string
	Region     string
	// MaxReportAge is the age at which a load report has lost all weight.
	MaxReportAge time.Duration
	// DefaultTokensPerSecond is assumed for an upstream that has not reported a rate.
	DefaultTokensPerSecond float64
	// PrefillTokensPerSecond converts matched prompt blocks into saved seconds.
	PrefillTokensPerSecond float64
	// BlockTokens is the number of tokens in one prompt block.
	BlockTokens int
	// CrossDataCentreCost and CrossRegion are the delays of the links in both directions.
	CrossDataCentreCost time.Duration
	CrossRegionCost     time.Duration
	// CrossRegionCostPerMB is the billed volume across regions expressed as time per megabyte.
	CrossRegionCostPerMB time.Duration
	// NearSamples, AnySamples and PrefixSamples are how many upstreams are drawn from the cheapest place, from all,
	// and from those with the longest prefix match.
	NearSamples   int
	AnySamples    int
	PrefixSamples int
	// RetryAfter is the advice to the caller when no upstream is left.
	RetryAfter time.Duration
}

// DefaultConfig returns the constants for today's sizes: 1.5 ms between data centres and 20 ms between regions, one
// way. Crossing a region costs half a second beside the delay, so that traffic stays home until the queue there is
// longer than that.
func DefaultConfig() Config {
	return Config{
		MaxReportAge:           10 * time.Second,
		DefaultTokensPerSecond: 1000,
		PrefillTokensPerSecond: 8000,
		BlockTokens:            64,
		CrossDataCentreCost:    3 * time.Millisecond,
		CrossRegionCost:        540 * time.Millisecond,
		CrossRegionCostPerMB:   2 * time.Second,
		NearSamples:            2,
		AnySamples:             1,
		PrefixSamples:          1,
		RetryAfter:             time.Second,
	}
}
