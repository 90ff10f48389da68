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
	// maxMisses in a row drop a learned entry, and put one from the settings behind those that answer.
	maxMisses = 3
)

// entryBook knows the peer addresses of the entries: those of the settings and those that replies report.
type entryBook struct {
	self   string
	static []string

	mu      sync.Mutex
	learned map[string]bool
	// misses counts the heartbeats in a row without a reply.
	misses map[string]int
}

func newEntryBook(self string, static []string) *entryBook {
	return &entryBook{self: self, static: slices.Clone(static), learned: map[string]bool{}, misses: map[string]int{}}
}

// learn takes the entries of one reply. An entry that leaves is forgotten.
func (b *entryBook) learn(list []*rpc.EntryInfo) {
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

// answered notes a reply.
func (b *entryBook) answered(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.misses, address)
}

// missed notes a heartbeat without a reply. A live entry that is dropped here is reported again by the others.
func (b *entryBook) missed(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misses[address]++
	if b.misses[address] >= maxMisses && b.learned[address] {
		delete(b.learned, address)
		if !slices.Contains(b.static, address) {
			delete(b.misses, address)
		}
	}
}

// targets returns the subset that is highest in the rendezvous hash of agent and entry. Every agent has another subset,
// and an entry that joins or leaves moves only its share of the agents.
func (b *entryBook) targets() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := slices.Clone(b.static)
	for address := range b.learned {
		all = append(all, address)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	slices.SortFunc(all, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.silent(x), b.silent(y)), cmp.Compare(b.weight(y), b.weight(x)))
	})
	return all[:min(len(all), maxHeartbeatTargets)]
}

func (b *entryBook) silent(address string) int {
	if b.misses[address] >= maxMisses {
		return 1
	}
	return 0
}

func (b *entryBook) weight(address string) uint64 {
	return xxhash.Sum64String(b.self + "\x00" + address)
}
