package fleetconfig

import "time"

// PeerResponse is one answer of an entry to this entry.
type PeerResponse struct {
	Name       string
	DataCentre string
	// SentAt is when this entry sent the question, on its own clock.
	SentAt time.Time
	// ConfirmationAge is the age of the peer's last confirmation at its answer; negative when it has none.
	ConfirmationAge time.Duration
	// Revision is the revision up to which the peer's configuration is complete.
	Revision int64
}

// confirmedAt is the earliest moment on this entry's clock at which the peer's confirmation can have been made, so
// that no clocks are compared.
func (a PeerResponse) confirmedAt() time.Time { return a.SentAt.Add(-a.ConfirmationAge) }
