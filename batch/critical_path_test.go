package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against a step that waits for a text which an engine has put back for lack of memory while shorter ones went on: of
// many short texts and a few long ones, those that the step is as long as must be told apart, also when a hint was wrong.
func TestTextsOnCriticalPath(t *testing.T) {
	hints := []int{900, 8000, 5000, 1000, 9000, 700} // group g2 is left to the next job
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
		t.Errorf("at the start the step is as long as %v, want the long texts of the needed groups", got)
	}
	outgrown, _ := j.Get("i0")
	j.Start(outgrown)
	outgrown.Text.Events = make([]string, 6000) // its hint was a tenth of what came
	if got := critical(); !slices.Contains(got, "i0") {
		t.Errorf("a text that has outgrown its hint is not among %v", got)
	}
	for _, id := range []string{"i0", "i1", "i2"} {
		p, _ := j.Get(id)
		j.Start(p)
		j.TextComplete(p, time.Time{})
	}
	if got := critical(); !slices.Equal(got, []string{"i3"}) {
		t.Errorf("at the end the step waits for %v, want the last needed text", got)
	}
}
