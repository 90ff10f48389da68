package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against a step that waits for a long text which an engine preempted for lack of memory while shorter ones went
// on: the texts that determine the duration of the step must be identified among many short ones, even if a hint was
// wrong.
func TestTextsOnCriticalPath(t *testing.T) {
	hints := []int{900, 8000, 5000, 1000, 9000, 700} // group g2 is optional
	spec := Spec{Desired: 2}
	for i, hint := range hints {
		spec.Items = append(spec.Items, Item{ID: fmt.Sprint("i", i), Group: fmt.Sprint("g", i/2), LengthHint: hint})
	}
	j := NewJob(spec, Record{}, Limits{Rate: &TokenRate{}})
	critical := func() []string {
		var list []string
		for _, p := range j.Items() {
			if p.Phase < Finished && j.OnCriticalPath(p) {
				list = append(list, p.Item.ID)
			}
		}
		return list
	}
	if got := critical(); !slices.Equal(got, []string{"i1", "i2"}) {
		t.Errorf("critical path at the start: %v, want the long texts of the needed groups", got)
	}
	outgrown, _ := j.Get("i0")
	j.Start(outgrown)
	outgrown.Text.Events = make([]string, 6000) // far beyond its hint
	if got := critical(); !slices.Contains(got, "i0") {
		t.Errorf("a text that exceeded its hint is not on the critical path %v", got)
	}
	for _, id := range []string{"i0", "i1", "i2"} {
		p, _ := j.Get(id)
		j.Start(p)
		j.TextComplete(p, time.Time{})
	}
	if got := critical(); !slices.Equal(got, []string{"i3"}) {
		t.Errorf("critical path at the end: %v, want the last needed text", got)
	}
}
