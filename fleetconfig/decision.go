package fleetconfig

import "time"

// Reason is why keyed requests are served or refused.
type Reason string

// Reasons of a Decision.
const (
	// ReasonConfirmed means that the table confirmed the configuration recently.
	ReasonConfirmed Reason = "confirmed"
	// ReasonStoreDown means that the table has not confirmed the configuration recently, but enough peers respond and
	// none has a newer configuration, so that it cannot have changed.
	ReasonStoreDown Reason = "store_down"
	// ReasonStarting means that neither the table nor enough peers have responded since the start.
	ReasonStarting Reason = "starting"
	// ReasonTooFewPeers means that fewer than half of the known entries respond.
	ReasonTooFewPeers Reason = "too_few_peers"
	// ReasonDataCentreSilent means that no entry of another data centre responds.
	ReasonDataCentreSilent Reason = "data_centre_silent"
	// ReasonPeerAhead means that a peer has a newer configuration, which this entry has not applied yet.
	ReasonPeerAhead Reason = "peer_ahead"
)

// Decision is what a Freshness decides at one point in time.
type Decision struct {
	// Serve is set if keyed requests may be served.
	Serve  bool
	Reason Reason
	// Detail is the name of the data centre or peer that Reason refers to, if any.
	Detail string
	// ConfirmationAge is the time since the last confirmation; negative if there was none.
	ConfirmationAge time.Duration
	// RespondingPeers is the number of peers that respond. It is not counted, and 0, for ReasonConfirmed.
	RespondingPeers int
	// KnownEntries is the number of known entries, including this one.
	KnownEntries int
}
