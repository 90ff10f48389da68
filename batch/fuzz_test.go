package batch

import (
	"encoding/json"
	"testing"
	"time"
)

// Guards against an owner that panics, or counts items that do not exist, on any content of the stored rows of a job: a
// row may be truncated or written by a newer version of the software.
func FuzzJobRows(f *testing.F) {
	f.Add([]byte(`{"id":"j","desired":1,"items":[{"id":"a","tokens":9,"group":"g"},{"id":"b","length_hint":-4}]}`),
		[]byte(`{"total":2,"listed":1,"done":"AQ==","chunks":1}`), []byte(`{"events":["x"],"versions":[3]}`))
	f.Add([]byte(`{"items":[{"id":"a"},{"id":"a"},{}],"desired":-1}`), []byte(`{"total":-3,"listed":9,"done":"/////w=="}`),
		[]byte(`{"whole":true}`))
	f.Fuzz(func(t *testing.T, content, row, saved []byte) {
		var spec Spec
		var record Record
		var text Text
		if json.Unmarshal(content, &spec) != nil || json.Unmarshal(row, &record) != nil || json.Unmarshal(saved, &text) != nil {
			return
		}
		j := NewJob(spec, record, Limits{MaxFailures: 1, Rate: &TokenRate{}})
		j.ApplyCarryover(map[string]TextSummary{"a": text.Summary()})
		var candidates []Candidate
		for _, p := range j.Waiting(time.Time{}) {
			j.Reuse(p, text)
			if p.Phase == Waiting {
				candidates = append(candidates, Candidate{Job: j, Item: p})
			}
		}
		SortCandidates(candidates)
		for _, c := range candidates {
			j.OnCriticalPath(c.Item)
			j.Start(c.Item)
			j.TextComplete(c.Item, time.Time{})
			j.RunFailed(c.Item, time.Time{}, "")
			j.Abandon(c.Item)
		}
		for _, p := range j.Items() {
			j.Scored(p, "")
		}
		n := len(j.Unlisted())
		j.EnoughAfterListing(n)
		if done := j.DoneAfterListing(n).Count(); done > len(spec.Items) {
			t.Errorf("%d of %d items are done", done, len(spec.Items))
		}
		j.MarkListed(n)
		j.Carryover()
		if listed := j.Count(Listed); listed != len(j.Items()) {
			t.Errorf("%d of %d items are listed after all have ended", listed, len(j.Items()))
		}
	})
}
