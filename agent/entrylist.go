package agent

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/radishshelf/radishshelf/rpc"
)

const (
	// maxHeartbeatTargets limits the entries to which one agent sends heartbeats.
	maxHeartbeatTargets = 16
	// maxMissedHeartbeats is the number of consecutive heartbeats without a reply after which a learned entry is removed
	// and a configured one is ranked behind those that reply.
	maxMissedHeartbeats = 3
)

// entryList holds the peer addresses of entries: those from the settings and those learned from heartbeat replies.
type entryList struct {
	self       string
	configured []string

	mu      sync.Mutex
	learned map[string]bool
	// misses counts the consecutive heartbeats without a reply.
	misses map[string]int
}

func newEntryList(self string, configured []string) *entryList {
	return &entryList{self: self, configured: slices.Clone(configured), learned: map[string]bool{}, misses: map[string]int{}}
}

// update adds the entries of one reply and removes learned entries that are leaving.
func (b *entryList) update(list []*rpc.EntryInfo) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, entry := range list {
		if _, err := netip.ParseAddrPort(entry.PeerAddress); err != nil {
			continue
		}
		if entry.Leaving {
			delete(b.learned, entry.PeerAddress)
			continue
		}
		if len(b.learned) < maxEntries {
			b.learned[entry.PeerAddress] = true
		}
	}
}

// recordReply resets the misses of an entry.
func (b *entryList) recordReply(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.misses, address)
}

// recordMiss counts a heartbeat without a reply. If it removes a live entry, replies of other entries add it again.
func (b *entryList) recordMiss(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misses[address]++
	if b.misses[address] >= maxMissedHeartbeats && b.learned[address] {
		delete(b.learned, address)
		if !slices.Contains(b.configured, address) {
			delete(b.misses, address)
		}
	}
}

// targets returns the entries that rank highest in the rendezvous hash of agent and entry. Different agents get
// different subsets, and an entry that joins or leaves changes the targets of only its share of the agents.
func (b *entryList) targets() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := slices.Clone(b.configured)
	for address := range b.learned {
		all = append(all, address)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	slices.SortFunc(all, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.missRank(x), b.missRank(y)), cmp.Compare(b.rendezvousWeight(y), b.rendezvousWeight(x)))
	})
	return all[:min(len(all), maxHeartbeatTargets)]
}

func (b *entryList) missRank(address string) int {
	if b.misses[address] >= maxMissedHeartbeats {
		return 1
	}
	return 0
}

func (b *entryList) rendezvousWeight(address string) uint64 {
	return xxhash.Sum64String(b.self + "\x00" + address)
}
