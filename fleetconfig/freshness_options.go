package fleetconfig

import "time"

// Defaults of FreshnessOptions.
const (
	DefaultKeyFreshness = 5 * time.Second
	// DefaultResponseWindow covers three questions at one per second, so that one lost answer changes nothing.
	DefaultResponseWindow = 3 * time.Second
	// DefaultEntryTimeout exceeds a restart, so that a restarting entry still counts as known.
	DefaultEntryTimeout = time.Minute
)

// minStartPeers is the number of peers that a restarted entry hears before it relies on them; one alone may be old.
const minStartPeers = 2

// FreshnessOptions configure a Freshness.
type FreshnessOptions struct {
	// Self and DataCentre name this entry.
	Self       string
	DataCentre string
	// KeyFreshness is how long a confirmation lasts without asking peers.
	KeyFreshness time.Duration
	// ResponseWindow is how long an answer counts.
	ResponseWindow time.Duration
	// EntryTimeout is the silence after which an entry no longer counts as known, provided that the table confirms.
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
