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
	left := TextSummary{Events: t.EventCount(), Complete: t.Complete}
	if len(t.Versions) > 0 {
		left.Oldest = t.Versions[0]
	}
	return left
}

// unreadResults is the number of results at the end of the list that the trainer may not have read when it ended its job: it
// reads about twice a second, and a reader is answered at the latest when there are as many.
const unreadResults = 32

// Carryover returns what there is of the items of the groups that were not complete for the trainer, by item. A group whose last
// result was listed just before the end may come again like one that is not complete.
func (j *Job) Carryover() map[string]TextSummary {
	open := map[string]bool{}
	for _, p := range j.order[max(len(j.order)-unreadResults, 0):] {
		open[p.Item.Group] = true
	}
	for _, p := range j.items {
		if p.Phase != Listed {
			open[p.Item.Group] = true
		}
	}
	list := map[string]TextSummary{}
	for _, p := range j.items {
		if !open[p.Item.Group] {
			continue
		}
		left := p.made
		if p.Phase < Finished {
			left = p.Text.Summary()
			left.Complete = p.Phase == Scoring
		}
		list[p.Item.ID] = left
	}
	return list
}
