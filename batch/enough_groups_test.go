package batch

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a reader that keeps waiting although all groups that the trainer waits for are complete, and against a
// job that counts as done while a carried-over group is missing.
func TestEnoughGroups(t *testing.T) {
	spec := Spec{Desired: 2}
	for i := range 6 {
		spec.Items = append(spec.Items, Item{ID: fmt.Sprint("i", i), Group: fmt.Sprint("g", i/2)})
	}
	j := NewJob(spec, Record{}, Limits{})
	j.ApplyCarryover(map[string]TextSummary{"i0": {Events: 3}})
	finish := func(id string) {
		p, _ := j.Get(id)
		j.Start(p)
		j.TextComplete(p, time.Time{})
	}
	for _, id := range []string{"i2", "i3", "i4", "i5"} {
		finish(id)
	}
	if j.EnoughAfterListing(4) {
		t.Error("enough groups without the carried-over group")
	}
	j.MarkListed(4)
	finish("i0")
	finish("i1")
	if j.EnoughAfterListing(1) || !j.EnoughAfterListing(2) {
		t.Error("want enough groups once both items of the carried-over group are listed, and not before")
	}
}
