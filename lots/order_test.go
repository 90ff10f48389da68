package lots

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/samples"
)

// Guards against a stale group in a lot, a group that is taken and discarded, a lot that is too small, and a lot that
// passes over a group which its order puts first.
func TestSelectGroupsFollowsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := Spec{
			MaxStaleness: rapid.Int64Range(0, 4).Draw(t, "bound"), LotSamples: rapid.IntRange(1, 30).Draw(t, "samples"),
			Order: rapid.SampledFrom([]Order{"", OrderOldest, OrderFreshest}).Draw(t, "order"),
		}
		const step = 10
		var ready []ReadyGroup
		for i := range rapid.IntRange(0, 40).Draw(t, "groups") {
			ready = append(ready, ReadyGroup{
				Key: fmt.Sprintf("%03d", i), Samples: rapid.IntRange(1, 8).Draw(t, "size"),
				OldestVersion: rapid.Int64Range(4, step).Draw(t, "oldest"),
			})
		}
		f := SelectGroups(spec, step, ready)
		taken, discarded := map[string]bool{}, map[string]bool{}
		count := 0
		for _, r := range f.Selected {
			taken[r.Key] = true
			count += r.Samples
		}
		for _, g := range f.Discarded {
			discarded[g.Key] = true
		}
		if len(f.Selected) > 0 && count < spec.LotSamples {
			t.Fatalf("lot of %d samples, agreed are %d", count, spec.LotSamples)
		}
		passing := 0
		for _, r := range ready {
			stale := samples.Stale(step, r.OldestVersion, spec.MaxStaleness)
			if stale != discarded[r.Key] || (stale && taken[r.Key]) {
				t.Fatalf("group %+v: stale %v, discarded %v, taken %v", r, stale, discarded[r.Key], taken[r.Key])
			}
			if !stale {
				passing += r.Samples
			}
		}
		if (passing >= spec.LotSamples) != (len(f.Selected) > 0) {
			t.Fatalf("%d samples pass, %d groups taken", passing, len(f.Selected))
		}
		checkSelectionOrder(t, spec.Order, f, ready, taken, discarded)
	})
}

// checkSelectionOrder compares every group that was left with every group that was taken.
func checkSelectionOrder(t *rapid.T, order Order, f Selection, ready []ReadyGroup, taken, discarded map[string]bool) {
	for _, skipped := range ready {
		if taken[skipped.Key] || discarded[skipped.Key] {
			continue
		}
		for _, r := range f.Selected {
			first := skipped.Key < r.Key
			if order == OrderFreshest {
				first = skipped.OldestVersion > r.OldestVersion || (skipped.OldestVersion == r.OldestVersion && skipped.Key > r.Key)
			}
			if first {
				t.Fatalf("order %q took %+v and passed over %+v", order, r, skipped)
			}
		}
	}
}
