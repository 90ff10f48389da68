package fleetconfig

// Trainer pulls lots of samples of one policy and publishes its weight versions.
type Trainer struct {
	Policy string `json:"policy"`
	// MaxStaleness is the largest allowed age of a sample in weight versions at the pull.
	MaxStaleness int64 `json:"max_staleness"`
	// LotSamples is the number of samples in a lot.
	LotSamples int `json:"lot_samples"`
}
