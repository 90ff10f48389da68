package configsync

import (
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/rpc"
)

func info(name string, port int, leaving bool) *rpc.EntryInfo {
	return &rpc.EntryInfo{Name: name, PeerAddress: address(port), DataCentre: "wien", Incarnation: "1", Leaving: leaving}
}

// Guards against entries that exited, moved or were replaced and hold up changes for ever.
func TestPeerTableForgets(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newPeerTable(info("self", 0, false), func(string) rpc.Peer { return nil }, []string{address(0), address(1)}, now)
	p, before := table.learn(info("a", 1, false), true, now)
	if before != address(1) || p.knownAs() != "a" || !table.live(p, now) {
		t.Errorf("static peer was known as %q and is %q", before, p.knownAs())
	}
	table.learn(info("b", 2, false), true, now)
	table.learn(info("b", 3, false), true, now.Add(time.Second))
	if _, ok := table.byAddress[address(2)]; ok {
		t.Error("the old address of a moved entry is still known")
	}
	table.learn(info("b", 3, true), true, now.Add(2*time.Second))
	table.dropLeft(now.Add(leftSilence))
	if !table.byAddress[address(3)].behind(1) {
		t.Error("a leaving entry that still speaks is not expected to apply changes")
	}
	table.dropLeft(now.Add(2*time.Second + leftSilence + 1))
	if _, ok := table.byAddress[address(3)]; ok {
		t.Error("an entry that left is still known")
	}
	table.drop("a")
	if p := table.byAddress[address(1)]; p == nil || p.behind(1) {
		t.Error("a forgotten static peer is not dialled any more or holds up changes")
	}
	if p, _ := table.learn(info("other", 0, false), true, now); p != nil {
		t.Error("an entry with the address of this one was taken over")
	}
}

// Guards against a large fleet that cannot ask half of its entries before its confirmation ends or before their answers
// expire, and that refuses keyed work because of it.
func TestAnswerWindowCoversLargeFleet(t *testing.T) {
	s := New(Options{Name: "self", PeerAddress: address(0), Dial: func(string) rpc.Peer { return nil }})
	const entries = 350
	now := time.Now()
	for n := 1; n < entries; n++ {
		s.learn(info(address(n), n, false), false, now)
	}
	asked := int(s.fresh.ResponseWindow().Seconds() * answersPerSecond)
	if asked < entries/2 {
		t.Errorf("%d entries can be asked within %s; want half of %d", asked, s.fresh.ResponseWindow(), entries)
	}
	s.fresh.RecordConfirmation(now.Add(-3 * time.Second))
	if asked := 2 * s.probesPerTick(now); asked < entries/2 {
		t.Errorf("%d entries are asked in the two ticks before the confirmation ends; want half of %d", asked, entries)
	}
	if limit := s.keyFreshness() + s.fresh.ResponseWindow(); limit > 16*time.Second {
		t.Errorf("a cut-off entry may serve for %s; want 16 s at most", limit)
	}
}
