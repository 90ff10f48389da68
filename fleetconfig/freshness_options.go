package fleetconfig

import "time"

// Defaults of FreshnessOptions.
const (
	DefaultKeyFreshness = 5 * time.Second
	// DefaultAnswerWindow covers three questions at one per second, so that one lost answer changes nothing.
	DefaultAnswerWindow = 3 * time.Second
	// DefaultForgetAfter exceeds a restart, so that a restarting entry still counts as known.
	DefaultForgetAfter = time.Minute
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
	// AnswerWindow is how long an answer counts.
	AnswerWindow time.Duration
	// ForgetAfter is the silence after which an entry no longer counts as known, provided that the table confirms.
	ForgetAfter time.Duration
}

func (o FreshnessOptions) withDefaults() FreshnessOptions {
	if o.KeyFreshness <= 0 {
		o.KeyFreshness = DefaultKeyFreshness
	}
	if o.AnswerWindow <= 0 {
		o.AnswerWindow = DefaultAnswerWindow
	}
	if o.ForgetAfter <= 0 {
		o.ForgetAfter = DefaultForgetAfter
	}
	return o
}
