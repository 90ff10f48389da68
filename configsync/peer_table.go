package configsync

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/rpc"
)

const (
	// baseLiveTimeout is the time since the last sign of life after which an entry no longer counts as live, before
	// liveTimeoutPerEntry is added.
	baseLiveTimeout = 5 * time.Second
	// liveTimeoutPerEntry is added for each known entry, because infos of one entry are rarer in a large fleet.
	liveTimeoutPerEntry = 60 * time.Millisecond
	// leavingTimeout is the time without a sign of life after which a leaving entry is regarded as exited. It exceeds
	// the time for which an entry that is cut off continues to serve.
	leavingTimeout = 20 * time.Second
	// relayWindow is the maximum time since the last message of an entry for which its info is relayed. It keeps infos
	// of dead entries from circulating.
	relayWindow = 3 * time.Second
	// maxRelayedInfos bounds the infos in one message to about 3 KB.
	maxRelayedInfos = 32
	// readersPerDataCentre is the number of entries that read the table in each data centre.
	readersPerDataCentre = 2
)

// peerTable holds the other entries by address. It is not safe for concurrent use.
type peerTable struct {
	self      *rpc.EntryInfo
	byAddress map[string]*peer
	dial      func(address string) rpc.Peer
}

func newPeerTable(self *rpc.EntryInfo, dial func(string) rpc.Peer, static []string, now time.Time) *peerTable {
	t := &peerTable{self: self, byAddress: make(map[string]*peer), dial: dial}
	for _, address := range static {
		if address != self.GetPeerAddress() {
			t.byAddress[address] = &peer{address: address, static: true, lastSeenAt: now, client: dial(address)}
		}
	}
	return t
}

// merge stores the info of an entry; direct is set if the entry itself sent it. It returns the peer and its previous
// nameOrAddress, or nil if the info is incomplete or has the name or address of this entry. A relayed info does not
// replace a recent direct one.
func (t *peerTable) merge(info *rpc.EntryInfo, direct bool, now time.Time) (p *peer, previousName string) {
	if info.GetName() == "" || info.GetPeerAddress() == "" || info.GetName() == t.self.GetName() ||
		info.GetPeerAddress() == t.self.GetPeerAddress() {
		return nil, ""
	}
	p, ok := t.byAddress[info.GetPeerAddress()]
	if !ok {
		p = &peer{address: info.GetPeerAddress(), client: t.dial(info.GetPeerAddress())}
		t.byAddress[p.address] = p
	}
	previousName = p.nameOrAddress()
	p.lastSeenAt = now
	p.forgotten = false
	if !direct && p.info != nil && now.Sub(p.lastDirectAt) < relayWindow {
		return p, previousName // the info from the peer itself is newer
	}
	// An older relayed info of the same incarnation must not revert what that incarnation reported.
	applied, leaving := info.GetAppliedRevision(), info.GetLeaving()
	if p.info.GetIncarnation() == info.GetIncarnation() {
		applied = max(applied, p.appliedRevision())
		leaving = leaving || p.info.GetLeaving()
	}
	p.info = proto.CloneOf(info)
	p.info.AppliedRevision = applied
	p.info.Leaving = leaving
	p.infoAt = now
	if direct {
		p.lastDirectAt = now
		t.removeOldAddresses(p)
	}
	return p, previousName
}

// removeByName removes the peer with the given nameOrAddress. A static peer stays in the table without its info.
func (t *peerTable) removeByName(name string) {
	for address, p := range t.byAddress {
		if p.nameOrAddress() != name {
			continue
		}
		t.remove(address, p)
	}
}

func (t *peerTable) remove(address string, p *peer) {
	if p.static {
		p.forget()
		return
	}
	delete(t.byAddress, address)
}

// removeExited removes the entries that announced their shutdown and have not been seen for leavingTimeout.
func (t *peerTable) removeExited(now time.Time) {
	for address, p := range t.byAddress {
		if p.info.GetLeaving() && now.Sub(p.lastSeenAt) > leavingTimeout {
			t.remove(address, p)
		}
	}
}

// removeOldAddresses removes the other addresses of an entry that now uses the address of current.
func (t *peerTable) removeOldAddresses(current *peer) {
	for address, p := range t.byAddress {
		if p != current && p.info != nil && p.info.GetName() == current.info.GetName() {
			t.remove(address, p)
		}
	}
}

// sortedPeers returns the peers sorted by address, so that random choices depend only on the random source.
func (t *peerTable) sortedPeers() []*peer {
	peers := make([]*peer, 0, len(t.byAddress))
	for _, p := range t.byAddress {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.address, b.address) })
	return peers
}

// isLive reports whether the peer has been seen recently and is not leaving.
func (t *peerTable) isLive(p *peer, now time.Time) bool {
	limit := baseLiveTimeout + time.Duration(len(t.byAddress))*liveTimeoutPerEntry
	return p.info != nil && !p.info.GetLeaving() && now.Sub(p.lastSeenAt) <= limit
}

// relayInfos returns the infos of up to maxRelayedInfos entries that sent a message to this entry within relayWindow.
func (t *peerTable) relayInfos(now time.Time) []*rpc.EntryInfo {
	var infos []*rpc.EntryInfo
	for _, p := range t.sortedPeers() {
		if p.info != nil && now.Sub(p.lastDirectAt) <= relayWindow {
			infos = append(infos, p.relayInfo(now))
		}
	}
	rand.Shuffle(len(infos), func(i, j int) { infos[i], infos[j] = infos[j], infos[i] })
	return infos[:min(len(infos), maxRelayedInfos)]
}

// readers returns the addresses of the entries that read the table for the data centre of this entry. Rendezvous
// hashing of their names selects them.
func (t *peerTable) readers(now time.Time) []string {
	ranked := []string{t.self.GetPeerAddress()}
	nameOf := map[string]string{t.self.GetPeerAddress(): t.self.GetName()}
	for _, p := range t.sortedPeers() {
		if t.isLive(p, now) && p.info.GetDataCentre() == t.self.GetDataCentre() {
			ranked = append(ranked, p.address)
			nameOf[p.address] = p.info.GetName()
		}
	}
	rank := func(address string) uint64 { return xxhash.Sum64String("config-reader/" + nameOf[address]) }
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	return ranked[:min(len(ranked), readersPerDataCentre)]
}

// pushTargets returns the live peers of the own data centre and, if otherDataCentres is set, a random one of each other
// data centre.
func (t *peerTable) pushTargets(now time.Time, otherDataCentres bool) []*peer {
	var targets []*peer
	covered := map[string]bool{}
	peers := t.sortedPeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		dc := p.info.GetDataCentre()
		switch {
		case !t.isLive(p, now):
		case dc == t.self.GetDataCentre():
			targets = append(targets, p)
		case otherDataCentres && !covered[dc]:
			covered[dc] = true
			targets = append(targets, p)
		}
	}
	return targets
}
