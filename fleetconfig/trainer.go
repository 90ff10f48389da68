package fleetconfig

// Values of Trainer.LotOrder.
const (
	LotOrderOldest   = "oldest"
	LotOrderFreshest = "freshest"
)

// Trainer pulls lots of samples of one policy and publishes its weight versions.
type Trainer struct {
	Policy string `json:"policy"`
	// MaxStaleness is the largest allowed age of a sample in weight versions at the pull.
	MaxStaleness int64 `json:"max_staleness"`
	// LotSamples is the number of samples in a lot.
	LotSamples int `json:"lot_samples"`
	// LotOrder is which ready groups within the bound a lot takes first: LotOrderOldest, the default, or
	// LotOrderFreshest.
	LotOrder string `json:"lot_order,omitempty"`
	// MaxReadySamples is the number of samples waiting for a lot above which new rollout groups are refused "not run".
	// 0 means no bound; otherwise it is at least LotSamples.
	MaxReadySamples int `json:"max_ready_samples,omitempty"`
}
