package batch

// TextSummary describes a text without its content. Job.Carryover keeps one for each item of an incomplete group.
type TextSummary struct {
	// Events is the length of the text, and Complete is set if no more events follow.
	Events   int  `json:"events"`
	Complete bool `json:"whole,omitempty"`
	// Oldest is the oldest weight version that generated an event of the text; 0 if there is none.
	Oldest int64 `json:"oldest,omitempty"`
}

// Summary returns the length, completeness and oldest weight version of a text.
func (t *Text) Summary() TextSummary {
	summary := TextSummary{Events: t.EventCount(), Complete: t.Complete}
	if len(t.Versions) > 0 {
		summary.Oldest = t.Versions[0]
	}
	return summary
}

// maxUnreadResults is the number of last listed results that the trainer may not have read when it ended its job: it
// reads about twice a second, and a waiting reader is answered at the latest when this many are available.
const maxUnreadResults = 32

// Carryover returns summaries of the texts in groups that were incomplete for the trainer, by item ID. Groups with one
// of the last maxUnreadResults listed results are included, because the trainer may not have read them.
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
