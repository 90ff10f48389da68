package batch

// earlierText is what is known of an item's text in an earlier job of the same trainer.
type earlierText struct {
	// events is the number of events that there were, and whole tells that no more followed.
	events int
	whole  bool
}

// CarryOver takes what there is of the texts of an earlier job, by item. A group with one of these items was not complete
// when its trainer ended that job: the trainer waits for it now, whatever other groups are complete. Its texts are about as
// long as before, also when weights that are too old made them and they have to be made again.
func (j *Job) CarryOver(texts map[string]Text) {
	carried := map[string]bool{}
	for _, p := range j.items {
		text, ok := texts[p.Item.ID]
		if !ok {
			continue
		}
		carried[p.Item.Group] = true
		p.earlier = earlierText{events: text.Length(), whole: text.Whole}
	}
	if len(carried) == 0 {
		return
	}
	j.carried = carried
	j.rankGroups()
}

// Carried returns the number of groups that come again from an earlier job.
func (j *Job) Carried() int { return len(j.carried) }
