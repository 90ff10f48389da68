package upstreams

import (
	"testing"
	"time"
)

func ready(id string) Entry { return Entry{ID: id, Service: "desk", State: Ready} }

// Guards against new work for an upstream whose entry was removed while the store was reachable.
func TestRemovalTakesEffectImmediately(t *testing.T) {
	v := NewView()
	now := time.Unix(100, 0)
	v.Put(ready("a"))
	v.Remove("a", now)
	if len(v.Ready("desk")) != 0 {
		t.Error("the removed upstream is still in use")
	}
}

// Guards against the loss of all upstreams when their entries expire during an outage of the store, and against an
// upstream that stays in use although it did not register again.
func TestRemovalGraceAfterOutage(t *testing.T) {
	v := NewView()
	now := time.Unix(100, 0)
	for _, id := range []string{"back", "gone"} {
		v.Put(ready(id))
	}
	v.StoreUnavailable()
	v.Remove("gone", now)
	now = now.Add(5 * time.Second)
	v.StoreAvailable(now)
	v.Remove("back", now.Add(100*time.Millisecond))
	if got := len(v.Ready("desk")); got != 2 {
		t.Fatalf("%d upstreams right after the outage, want 2", got)
	}
	v.Put(ready("back"))
	if expired := v.Expire(now.Add(RemovalGrace)); len(expired) != 1 || expired[0] != "gone" {
		t.Errorf("expired %v, want [gone]", expired)
	}
	if list := v.Ready("desk"); len(list) != 1 || list[0].ID != "back" {
		t.Errorf("left %v, want back", list)
	}
	v.Remove("back", now.Add(2*RemovalGrace))
	if v.Len() != 0 {
		t.Error("a removal long after the outage is delayed")
	}
}

// Guards against an unreadable entry that still counts as an upstream.
func TestUnreadableEntryIsDropped(t *testing.T) {
	v := NewView()
	v.Put(ready("a"))
	v.StoreUnavailable()
	v.Discard("a")
	if v.Len() != 0 {
		t.Error("the upstream is still in the view")
	}
}

// Guards against upstreams that stay in the view although they are missing from a full read of the table.
func TestReplaceDropsMissing(t *testing.T) {
	v := NewView()
	v.Put(ready("a"))
	v.Put(ready("b"))
	v.Replace([]Entry{ready("b"), ready("c")}, time.Unix(100, 0))
	list := v.All()
	if len(list) != 2 || list[0].ID != "b" || list[1].ID != "c" {
		t.Errorf("left %v, want b and c", list)
	}
}
