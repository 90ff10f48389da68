package quarantine

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against two processes that rerun the requests of an ended upstream at the same time on the same upstream: the
// request that caused the end would then end the next upstream beside the requests of another process.
func TestIsolationSlotsAreDisjoint(t *testing.T) {
	ended := UpstreamIncarnation{Upstream: "desk-0", Incarnation: "7"}
	for hosts := 1; hosts <= 20; hosts++ {
		for upstreams := 1; upstreams <= 9; upstreams++ {
			processes, remaining := names("host-", hosts), names("desk-", upstreams)
			users := map[string]string{}
			for _, p := range processes {
				slices.Reverse(remaining) // the order of the views must not matter
				slot := NewIsolationSlot(ended, p, processes, remaining)
				if len(slot.Upstreams) == 0 {
					t.Fatalf("%s has no upstream, of %d for %d processes", p, upstreams, hosts)
				}
				for _, u := range slot.Upstreams {
					key := fmt.Sprint(u, " in turn ", slot.Turn)
					if other, taken := users[key]; taken {
						t.Errorf("%d processes, %d upstreams: %s and %s both use %s", hosts, upstreams, p, other, key)
					}
					users[key] = p
				}
			}
			if want := max(hosts, upstreams); len(users) != want {
				t.Errorf("%d processes, %d upstreams: %d slots, want %d", hosts, upstreams, len(users), want)
			}
		}
	}
}

// Guards against a division by zero, or a slot on the ended upstream, when no other upstream is left.
func TestIsolationSlotWithoutUpstreams(t *testing.T) {
	slot := NewIsolationSlot(UpstreamIncarnation{Upstream: "desk-0"}, "host-0", names("host-", 3), nil)
	if len(slot.Upstreams) != 0 || slot.Turn != 0 {
		t.Errorf("slot %+v, want none", slot)
	}
}

func names(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint(prefix, i))
	}
	return list
}
