package fleetconfig

// Values of Trainer.LotOrder.
const (
	LotOrderOldest   = "oldest"
	LotOrderFreshest = "freshest"
)

// Trainer pulls lots of samples of one policy and publishes the policy's weight versions.
type Trainer struct {
	Policy string `json:"policy"`
	// MaxStaleness is the maximum age of a sample at the pull, in weight versions.
	MaxStaleness int64 `json:"max_staleness"`
	// LotSamples is the minimum number of samples in a lot.
	LotSamples int `json:"lot_samples"`
	// LotOrder selects which of the ready groups within MaxStaleness a lot takes first: LotOrderOldest, the default, or
	// LotOrderFreshest.
	LotOrder string `json:"lot_order,omitempty"`
	// MaxReadySamples is the number of samples waiting for a lot above which new rollout groups are refused as "not
	// run". 0 means no limit; otherwise it is at least LotSamples.
	MaxReadySamples int `json:"max_ready_samples,omitempty"`
}
