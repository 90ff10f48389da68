package configsync

import (
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/rpc"
)

func info(name string, port int, leaving bool) *rpc.EntryInfo {
	return &rpc.EntryInfo{Name: name, PeerAddress: address(port), DataCentre: "wien", Incarnation: "1", Leaving: leaving}
}

// Guards against changes that stay pending forever because of entries that exited, moved or were replaced.
func TestPeerTableRemovesEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newPeerTable(info("self", 0, false), func(string) rpc.Peer { return nil }, []string{address(0), address(1)}, now)
	p, previousName := table.merge(info("a", 1, false), true, now)
	if previousName != address(1) || p.nameOrAddress() != "a" || !table.isLive(p, now) {
		t.Errorf("static peer had previous name %q and now has %q", previousName, p.nameOrAddress())
	}
	table.merge(info("b", 2, false), true, now)
	table.merge(info("b", 3, false), true, now.Add(time.Second))
	if _, ok := table.byAddress[address(2)]; ok {
		t.Error("the old address of a moved entry is still known")
	}
	table.merge(info("b", 3, true), true, now.Add(2*time.Second))
	table.removeExited(now.Add(leavingTimeout))
	if !table.byAddress[address(3)].isBehind(1) {
		t.Error("a leaving entry that is still alive is not expected to apply changes")
	}
	table.removeExited(now.Add(2*time.Second + leavingTimeout + 1))
	if _, ok := table.byAddress[address(3)]; ok {
		t.Error("an entry that left is still known")
	}
	table.removeByName("a")
	if p := table.byAddress[address(1)]; p == nil || p.isBehind(1) {
		t.Error("a forgotten static peer was removed or still blocks changes")
	}
	if p, _ := table.merge(info("other", 0, false), true, now); p != nil {
		t.Error("the info of an entry with the address of this one was merged")
	}
}

// Guards against a large fleet that refuses keyed requests because an entry cannot probe half of the entries before its
// confirmation or their responses expire.
func TestResponseWindowCoversLargeFleet(t *testing.T) {
	s := New(Options{Name: "self", PeerAddress: address(0), Dial: func(string) rpc.Peer { return nil }})
	const entries = 350
	now := time.Now()
	for n := 1; n < entries; n++ {
		s.mergeInfo(info(address(n), n, false), false, now)
	}
	probed := int(s.freshness.ResponseWindow().Seconds() * probesPerSecond)
	if probed < entries/2 {
		t.Errorf("%d entries can be probed within %s; want half of %d", probed, s.freshness.ResponseWindow(), entries)
	}
	s.freshness.RecordConfirmation(now.Add(-3 * time.Second))
	if probed := 2 * s.probesPerTick(now); probed < entries/2 {
		t.Errorf("%d entries are probed in the two ticks before the confirmation expires; want half of %d", probed, entries)
	}
	if limit := s.keyFreshness() + s.freshness.ResponseWindow(); limit > 16*time.Second {
		t.Errorf("a cut-off entry may serve for %s; want 16 s at most", limit)
	}
}
