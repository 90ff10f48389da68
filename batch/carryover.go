package batch

// ApplyCarryover applies what is known of texts from earlier jobs, by item ID. A group with one of these items was
// incomplete when its trainer ended the earlier job, so the trainer now waits for it even if enough other groups are
// complete. Its texts are expected to be about as long as before, even if they have to be generated again because the
// weights that generated them are too old.
func (j *Job) ApplyCarryover(carryover map[string]TextSummary) {
	carried := map[string]bool{}
	for _, p := range j.items {
		prior, ok := carryover[p.Item.ID]
		if !ok {
			continue
		}
		carried[p.Item.Group] = true
		p.priorText = prior
	}
	if len(carried) == 0 {
		return
	}
	j.carriedGroups = carried
	j.rankGroups()
}

// CarriedGroups returns the number of groups carried over from an earlier job.
func (j *Job) CarriedGroups() int { return len(j.carriedGroups) }
