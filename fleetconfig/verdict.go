package fleetconfig

import "time"

// Reason says why keyed work is served or refused.
type Reason string

// Reasons of a Verdict.
const (
	// ReasonConfirmed means that the table confirmed the configuration recently.
	ReasonConfirmed Reason = "confirmed"
	// ReasonStoreDown means that enough peers answer and none has a newer confirmation, so nothing can have changed.
	ReasonStoreDown Reason = "store_down"
	// ReasonStarting means that neither the table nor enough peers have been heard since the start.
	ReasonStarting Reason = "starting"
	// ReasonTooFewPeers means that the peers that answer are fewer than half of the known entries.
	ReasonTooFewPeers Reason = "too_few_peers"
	// ReasonDataCentreSilent means that no entry of some data centre answers.
	ReasonDataCentreSilent Reason = "data_centre_silent"
	// ReasonPeerAhead means that a peer has a newer confirmation or configuration that is not applied here yet.
	ReasonPeerAhead Reason = "peer_ahead"
)

// Verdict is the answer of the freshness rule at one moment.
type Verdict struct {
	Serve  bool
	Reason Reason
	// Detail names the data centre or the peer that Reason is about.
	Detail string
	// ConfirmationAge is the time since the last confirmation; negative when there was none.
	ConfirmationAge time.Duration
	// RespondingPeers counts the peers that answer, Known the entries that exist, this one included.
	RespondingPeers int
	KnownEntries    int
}
