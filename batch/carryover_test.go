package batch

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

// Guards against carried-over groups being treated as optional: they hold the longest texts, so a ranking by length
// alone puts them last although the trainer waits for them.
func TestCarriedGroupsAreNotOptional(t *testing.T) {
	const groups, size, long = 11, 16, 130
	spec := Spec{Desired: 10}
	for i := range groups * size {
		item := Item{ID: fmt.Sprint("i", i), Group: fmt.Sprint("g", i/size), LengthHint: 900}
		if i == 3 { // the text that kept g0 incomplete; its hint is too low again
			item.LengthHint = 1000
		}
		spec.Items = append(spec.Items, item)
	}
	j := NewJob(spec, Record{}, Limits{})
	slow, _ := j.Get("i3")
	if !j.Optional(slow) {
		t.Fatal("test setup: the group with the longest estimate is not the optional one")
	}
	carryover := map[string]TextSummary{"i3": {Events: long, Complete: true, Oldest: 1}}
	for i := range size {
		if i != 3 {
			carryover[fmt.Sprint("i", i)] = TextSummary{Events: 2, Oldest: 1}
		}
	}
	j.ApplyCarryover(carryover)
	if j.Optional(slow) || j.CarriedGroups() != 1 {
		t.Errorf("the carried group is optional; %d groups carried, want 1", j.CarriedGroups())
	}
	if got := slow.RemainingTokens(); got != long*defaultTokenRate {
		t.Errorf("%d tokens expected for a text that had %d events", got, long)
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
	SortCandidates(candidates)
	if candidates[0].Item != slow {
		t.Errorf("%s starts first, want the text known to be long", candidates[0].Item.Item.ID)
	}
}

// Guards against an unfinished text being estimated as short because only a few of its events were generated in the
// earlier job.
func TestUnfinishedPriorTextKeepsLengthHint(t *testing.T) {
	j := NewJob(Spec{Items: []Item{{ID: "a", LengthHint: 800}, {ID: "b", LengthHint: 100}}}, Record{}, Limits{})
	j.ApplyCarryover(map[string]TextSummary{"a": {Events: 1}, "b": {Events: 40}})
	for id, want := range map[string]int{"a": 800, "b": 3000} {
		if p, _ := j.Get(id); p.RemainingTokens() != want {
			t.Errorf("%s: %d tokens expected, want %d", id, p.RemainingTokens(), want)
		}
	}
}

// Guards against a carryover that includes complete groups, that omits a group whose last results the trainer may not
// have read, or that loses the length of a text when the text itself is dropped.
func TestCarryoverOfIncompleteGroups(t *testing.T) {
	spec := Spec{Items: []Item{{ID: "a1", Group: "a"}, {ID: "a2", Group: "a"}, {ID: "b1", Group: "b"}, {ID: "b2", Group: "b"}}}
	for n := range maxUnreadResults - 1 {
		spec.Items = append(spec.Items, Item{ID: fmt.Sprint("c", n), Group: "c"})
	}
	j := NewJob(spec, Record{Total: len(spec.Items)}, Limits{})
	finish := func(id string, events int) {
		p, _ := j.Get(id)
		j.Start(p)
		for event := range events {
			p.Text.Append(event+1, "x", 7)
		}
		j.TextComplete(p, time.Time{})
	}
	finish("a1", 1)
	finish("a2", 2)
	finish("b1", 3)
	for n := range maxUnreadResults - 1 {
		finish(fmt.Sprint("c", n), 4)
	}
	listed := len(spec.Items) - 1
	j.Record.Done, j.Record.Listed = j.DoneAfterListing(listed), listed
	j.MarkListed(listed)
	running, _ := j.Get("b2")
	j.Start(running)
	running.Text.Append(1, "x", 6)
	running.Text.Append(2, "x", 7)
	want := map[string]TextSummary{"b1": {Events: 3, Complete: true, Oldest: 7}, "b2": {Events: 2, Oldest: 6}}
	for n := range maxUnreadResults - 1 { // listed last, so the trainer may not have read them
		want[fmt.Sprint("c", n)] = TextSummary{Events: 4, Complete: true, Oldest: 7}
	}
	if got := j.Carryover(); !maps.Equal(got, want) {
		t.Errorf("carryover %v, want %v", got, want)
	}
	again := NewJob(spec, j.Record, Limits{})
	if again.Count(Listed) != listed || again.Complete() || j.Record.Done.Count() != listed {
		t.Errorf("%d items listed according to the record, want %d", again.Count(Listed), listed)
	}
}
