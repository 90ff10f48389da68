package fleetconfig

import "time"

// Defaults of FreshnessOptions.
const (
	DefaultKeyFreshness = 5 * time.Second
	// DefaultResponseWindow covers three requests at one per second, so that one lost response has no effect.
	DefaultResponseWindow = 3 * time.Second
	// DefaultEntryTimeout is longer than a restart, so that a restarting entry still counts as known.
	DefaultEntryTimeout = time.Minute
)

// minStartPeers is the number of peers that have to respond before a restarted entry relies on them; a single peer may
// be outdated.
const minStartPeers = 2

// FreshnessOptions configures a Freshness. Durations that are not positive get their defaults.
type FreshnessOptions struct {
	// Self is the name of this entry and DataCentre the name of its data centre.
	Self       string
	DataCentre string
	// KeyFreshness is how long a confirmation is valid without a quorum of peers.
	KeyFreshness time.Duration
	// ResponseWindow is how long a response of a peer counts.
	ResponseWindow time.Duration
	// EntryTimeout is how long after it was last seen an entry is removed, provided that the configuration was
	// confirmed recently.
	EntryTimeout time.Duration
}

func (o FreshnessOptions) withDefaults() FreshnessOptions {
	if o.KeyFreshness <= 0 {
		o.KeyFreshness = DefaultKeyFreshness
	}
	if o.ResponseWindow <= 0 {
		o.ResponseWindow = DefaultResponseWindow
	}
	if o.EntryTimeout <= 0 {
		o.EntryTimeout = DefaultEntryTimeout
	}
	return o
}
