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
	// maxHeartbeatTargets is the size of the subset of entries that hear from one agent.
	maxHeartbeatTargets = 16
	// maxMissedHeartbeats in a row drop a learned entry, and put one from the settings behind those that answer.
	maxMissedHeartbeats = 3
)

// entryList knows the peer addresses of the entries: those of the settings and those that replies report.
type entryList struct {
	self       string
	configured []string

	mu      sync.Mutex
	learned map[string]bool
	// misses counts the heartbeats in a row without a reply.
	misses map[string]int
}

func newEntryList(self string, static []string) *entryList {
	return &entryList{self: self, configured: slices.Clone(static), learned: map[string]bool{}, misses: map[string]int{}}
}

// update takes the entries of one reply. An entry that leaves is forgotten.
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

// recordReply notes a reply.
func (b *entryList) recordReply(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.misses, address)
}

// recordMiss notes a heartbeat without a reply. A live entry that is dropped here is reported again by the others.
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

// targets returns the subset that is highest in the rendezvous hash of agent and entry. Every agent has another subset,
// and an entry that joins or leaves moves only its share of the agents.
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
