package fleetconfig

import "time"

// PeerResponse is a response of another entry to a configuration sync request.
type PeerResponse struct {
	Name       string
	DataCentre string
	// SentAt is when this entry sent the request, on its own clock.
	SentAt time.Time
	// ConfirmationAge is how old the last confirmation of the peer was when it responded; negative if it has none.
	ConfirmationAge time.Duration
	// Revision is the revision up to which the configuration of the peer is complete.
	Revision int64
}

// confirmedAt returns the earliest time, on the clock of this entry, at which the confirmation of the peer can have
// been made. It is computed from an age, so clocks of different hosts are never compared.
func (r PeerResponse) confirmedAt() time.Time { return r.SentAt.Add(-r.ConfirmationAge) }
