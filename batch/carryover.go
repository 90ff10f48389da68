package batch

// ApplyCarryover takes what earlier jobs left, by item. A group with one of these items was not complete when its trainer ended
// that job: the trainer waits for it now, whatever other groups are complete. Its texts are about as long as before, also
// when weights that are too old made them and they have to be made again.
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

// CarriedGroups returns the number of groups that come again from an earlier job.
func (j *Job) CarriedGroups() int { return len(j.carriedGroups) }
