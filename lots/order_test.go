package lots

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/samples"
)

// Guards against stale groups in a lot, groups that are both selected and discarded, undersized lots, and lots that
// skip a group which their order puts first.
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
		selection := SelectGroups(spec, step, ready)
		selected, discarded := map[string]bool{}, map[string]bool{}
		count := 0
		for _, r := range selection.Selected {
			selected[r.Key] = true
			count += r.Samples
		}
		for _, g := range selection.Discarded {
			discarded[g.Key] = true
		}
		if len(selection.Selected) > 0 && count < spec.LotSamples {
			t.Fatalf("lot has %d samples, want at least %d", count, spec.LotSamples)
		}
		passing := 0
		for _, r := range ready {
			stale := samples.Stale(step, r.OldestVersion, spec.MaxStaleness)
			if stale != discarded[r.Key] || (stale && selected[r.Key]) {
				t.Fatalf("group %+v: stale %v, discarded %v, selected %v", r, stale, discarded[r.Key], selected[r.Key])
			}
			if !stale {
				passing += r.Samples
			}
		}
		if (passing >= spec.LotSamples) != (len(selection.Selected) > 0) {
			t.Fatalf("%d samples are within the bound, %d groups selected", passing, len(selection.Selected))
		}
		checkSelectionOrder(t, spec.Order, selection, ready, selected, discarded)
	})
}

// checkSelectionOrder compares every skipped group with every selected group.
func checkSelectionOrder(t *rapid.T, order Order, selection Selection, ready []ReadyGroup,
	selected, discarded map[string]bool) {
	for _, skipped := range ready {
		if selected[skipped.Key] || discarded[skipped.Key] {
			continue
		}
		for _, r := range selection.Selected {
			first := skipped.Key < r.Key
			if order == OrderFreshest {
				first = skipped.OldestVersion > r.OldestVersion || (skipped.OldestVersion == r.OldestVersion && skipped.Key > r.Key)
			}
			if first {
				t.Fatalf("order %q selected %+v and skipped %+v", order, r, skipped)
			}
		}
	}
}
