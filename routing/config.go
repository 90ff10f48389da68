package routing

import "time"

// Config holds the parameters of a Router. Start from DefaultConfig and set DataCentre and Region.
type Config struct {
	// DataCentre and Region are where the entry runs.
	DataCentre string
	Region     string
	// MaxReportAge is the age from which a load report is ignored.
	MaxReportAge time.Duration
	// DefaultTokensPerSecond is assumed for an upstream that has not reported a rate.
	DefaultTokensPerSecond float64
	// PrefillTokensPerSecond is the prefill rate used to convert matched prompt blocks to saved seconds.
	PrefillTokensPerSecond float64
	// BlockTokens is the number of tokens in one prompt block.
	BlockTokens int
	// CrossDataCentreCost and CrossRegionCost are the costs of leaving the data centre and the region. They include the
	// round-trip time.
	CrossDataCentreCost time.Duration
	CrossRegionCost     time.Duration
	// CrossRegionCostPerMB is the cost of billed traffic between regions, expressed as time per megabyte.
	CrossRegionCostPerMB time.Duration
	// NearSamples, AnySamples and PrefixSamples are the numbers of upstreams drawn from the nearest ones, from all, and
	// from those with the longest prefix match.
	NearSamples   int
	AnySamples    int
	PrefixSamples int
	// RetryAfter is the retry delay returned to the caller when no upstream can run the request.
	RetryAfter time.Duration
}

// DefaultConfig returns parameters for one-way delays of 1.5 ms between data centres and 20 ms between regions.
// Crossing regions costs half a second on top of the round trip, so that traffic stays in its region until the queue
// there is longer than that.
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
