package batch

import (
	"fmt"
	"strings"
	"testing"
)

// Pattern: groups that come again. The groups that a trainer left behind hold the longest texts, which a ranking by length
// alone puts behind all others although the trainer waits for them.
func TestCarriedGroupsAreWaitedFor(t *testing.T) {
	const groups, size, long = 11, 16, 130
	spec := Spec{Desired: 10}
	for i := range groups * size {
		item := Item{ID: fmt.Sprint("i", i), Group: fmt.Sprint("g", i/size), LengthHint: 900}
		if i == 3 { // the text that kept g0 from being complete; its hint is as wrong as it was then
			item.LengthHint = 1000
		}
		spec.Items = append(spec.Items, item)
	}
	j := NewJob(spec, Record{}, Limits{}, nil)
	slow, _ := j.Get("i3")
	if !j.Optional(slow) {
		t.Fatal("the group with the longest estimate is not the optional one; the test shows nothing")
	}
	texts := map[string]Text{"i3": {Events: []string{strings.Repeat("x\n", long-1) + "x"}, Versions: []int64{1}, Whole: true}}
	for i := range size {
		if i != 3 {
			texts[fmt.Sprint("i", i)] = Text{Events: []string{"x", "x"}, Versions: []int64{1}}
		}
	}
	j.CarryOver(texts)
	if j.Optional(slow) || j.Carried() != 1 {
		t.Errorf("the carried group is optional; %d groups carried, want 1", j.Carried())
	}
	if got := slow.Remaining(); got != long*tokensPerEvent {
		t.Errorf("%d tokens expected of a text that had %d events", got, long)
	}
	optional := 0
	var candidates []Candidate
	for _, p := range j.Items() {
		if j.Optional(p) {
			optional++
		}
		candidates = append(candidates, Candidate{Job: j, Item: p})
	}
	if optional != size {
		t.Errorf("%d optional items, want one group of %d", optional, size)
	}
	Order(candidates)
	if candidates[0].Item != slow {
		t.Errorf("%s starts first, want the text that is known to be long", candidates[0].Item.Item.ID)
	}
}

// Guards against a text in progress that counts as short because it had not gone far in the earlier job.
func TestUnfinishedEarlierTextKeepsItsHint(t *testing.T) {
	j := NewJob(Spec{Items: []Item{{ID: "a", LengthHint: 800}, {ID: "b", LengthHint: 100}}}, Record{}, Limits{}, nil)
	j.CarryOver(map[string]Text{"a": {Events: []string{"1"}}, "b": {Events: make([]string, 40)}})
	for id, want := range map[string]int{"a": 800, "b": 3000} {
		if p, _ := j.Get(id); p.Remaining() != want {
			t.Errorf("%s: %d tokens expected, want %d", id, p.Remaining(), want)
		}
	}
}
