package configsync

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/rpc"
)

// peer is what this entry knows of another entry, by address.
type peer struct {
	address string
	// static peers come from the settings and are tried again after they were forgotten.
	static bool
	// info is nil until the peer was heard of.
	info *rpc.EntryInfo
	// infoAt is when info arrived.
	infoAt time.Time
	// lastDirectAt is when the peer last spoke to this entry, heardAt when it or another entry last reported it alive.
	lastDirectAt time.Time
	lastSeenAt   time.Time
	// lastRequestAt is when this entry last chose the peer for a question.
	lastRequestAt time.Time
	client        rpc.Peer
	// forgotten static peers are still dialled but no longer expected to answer.
	forgotten bool
}

// nameOrAddress is the name under which the freshness rule counts the peer.
func (p *peer) nameOrAddress() string {
	if p.info == nil {
		return p.address
	}
	return p.info.GetName()
}

// isBehind reports whether the peer is expected to apply a revision and has not done so. Leaving peers are expected to,
// because they still finish streams and queued work.
func (p *peer) isBehind(revision int64) bool { return p.appliedRevision() < revision && !p.forgotten }

// forget drops what is known of a static peer, which is still dialled.
func (p *peer) forget() {
	p.info = nil
	p.forgotten = true
}

// appliedRevision is the revision that the peer last reported as applied.
func (p *peer) appliedRevision() int64 { return p.info.GetAppliedRevision() }

// relayInfo returns the info with its confirmation age as of now.
func (p *peer) relayInfo(now time.Time) *rpc.EntryInfo {
	info := proto.CloneOf(p.info)
	if info.GetConfirmationAgeMs() >= 0 {
		info.ConfirmationAgeMs += now.Sub(p.infoAt).Milliseconds()
	}
	return info
}
