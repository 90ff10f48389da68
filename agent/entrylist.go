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
func (l *entryList) update(list []*rpc.EntryInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range list {
		if _, err := netip.ParseAddrPort(entry.PeerAddress); err != nil {
			continue
		}
		if entry.Leaving {
			l.removeLearned(entry.PeerAddress)
			continue
		}
		if len(l.learned) < maxEntries {
			l.learned[entry.PeerAddress] = true
		}
	}
}

// recordReply resets the misses of an entry.
func (l *entryList) recordReply(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.misses, address)
}

// recordMiss counts a heartbeat without a reply. If it removes a live entry, replies of other entries add it again.
func (l *entryList) recordMiss(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.learned[address] && !slices.Contains(l.configured, address) {
		return // it was removed while the heartbeat was in flight
	}
	l.misses[address]++
	if l.misses[address] >= maxMissedHeartbeats {
		l.removeLearned(address)
	}
}

// removeLearned removes a learned entry. The misses of a configured entry are kept, since it stays a target. The caller
// holds mu.
func (l *entryList) removeLearned(address string) {
	delete(l.learned, address)
	if !slices.Contains(l.configured, address) {
		delete(l.misses, address)
	}
}

// targets returns the entries that rank highest in the rendezvous hash of agent and entry. Different agents get
// different subsets, and an entry that joins or leaves changes the targets of only its share of the agents.
func (l *entryList) targets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.configured)
	for address := range l.learned {
		all = append(all, address)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	slices.SortFunc(all, func(x, y string) int {
		return cmp.Or(cmp.Compare(l.missRank(x), l.missRank(y)), cmp.Compare(l.rendezvousWeight(y), l.rendezvousWeight(x)))
	})
	return all[:min(len(all), maxHeartbeatTargets)]
}

func (l *entryList) missRank(address string) int {
	if l.misses[address] >= maxMissedHeartbeats {
		return 1
	}
	return 0
}

func (l *entryList) rendezvousWeight(address string) uint64 {
	return xxhash.Sum64String(l.self + "\x00" + address)
}
