package configsync

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/rpc"
)

// peer holds what this entry knows about the entry at one address.
type peer struct {
	address string
	// static is set for peers from the settings, which are contacted again after they were forgotten.
	static bool
	// info is the latest info of the peer; nil while none has been received.
	info *rpc.EntryInfo
	// infoAt is when info was received.
	infoAt time.Time
	// lastDirectAt is when the peer itself last sent a message to this entry. lastSeenAt is when the peer or another
	// entry last reported the peer as alive.
	lastDirectAt time.Time
	lastSeenAt   time.Time
	// lastRequestAt is when this entry last chose the peer for a pull or probe.
	lastRequestAt time.Time
	client        rpc.Peer
	// forgotten is set for a static peer that is still contacted but no longer expected to respond.
	forgotten bool
}

// nameOrAddress returns the name under which the freshness state counts the peer: its address until its name is known.
func (p *peer) nameOrAddress() string {
	if p.info == nil {
		return p.address
	}
	return p.info.GetName()
}

// isBehind reports whether the peer is expected to apply a revision and has not done so. This includes leaving peers,
// because they still finish streams and queued requests.
func (p *peer) isBehind(revision int64) bool { return p.appliedRevision() < revision && !p.forgotten }

// forget drops what is known about a static peer. The peer is still contacted.
func (p *peer) forget() {
	p.info = nil
	p.forgotten = true
}

// appliedRevision returns the revision that the peer last reported as applied.
func (p *peer) appliedRevision() int64 { return p.info.GetAppliedRevision() }

// relayInfo returns a copy of info with the confirmation age as of now.
func (p *peer) relayInfo(now time.Time) *rpc.EntryInfo {
	info := proto.CloneOf(p.info)
	if info.GetConfirmationAgeMs() >= 0 {
		info.ConfirmationAgeMs += now.Sub(p.infoAt).Milliseconds()
	}
	return info
}
