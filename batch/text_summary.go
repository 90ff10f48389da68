package batch

// TextSummary is what an ended job left of an item whose group was not complete.
type TextSummary struct {
	// Events is the length of the text, and Whole tells that nothing followed.
	Events   int  `json:"events"`
	Complete bool `json:"whole,omitempty"`
	// Oldest is the oldest weight version that made an event of the text; 0 when there is none.
	Oldest int64 `json:"oldest,omitempty"`
}

// Summary tells what there is of a text.
func (t *Text) Summary() TextSummary {
	summary := TextSummary{Events: t.EventCount(), Complete: t.Complete}
	if len(t.Versions) > 0 {
		summary.Oldest = t.Versions[0]
	}
	return summary
}

// maxUnreadResults is the number of results at the end of the list that the trainer may not have read when it ended its job: it
// reads about twice a second, and a reader is answered at the latest when there are as many.
const maxUnreadResults = 32

// Carryover returns what there is of the items of the groups that were not complete for the trainer, by item. A group whose last
// result was listed just before the end may come again like one that is not complete.
func (j *Job) Carryover() map[string]TextSummary {
	incomplete := map[string]bool{}
	for _, p := range j.listedOrder[max(len(j.listedOrder)-maxUnreadResults, 0):] {
		incomplete[p.Item.Group] = true
	}
	for _, p := range j.items {
		if p.Phase != Listed {
			incomplete[p.Item.Group] = true
		}
	}
	carryover := map[string]TextSummary{}
	for _, p := range j.items {
		if !incomplete[p.Item.Group] {
			continue
		}
		summary := p.finalText
		if p.Phase < Finished {
			summary = p.Text.Summary()
			summary.Complete = p.Phase == Scoring
		}
		carryover[p.Item.ID] = summary
	}
	return carryover
}
