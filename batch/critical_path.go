package batch

// criticalShare is the part of the longest remaining text of a step from which a text counts as one that decides how long the
// step lasts: estimates are right within a factor of two in the middle.
const criticalShare = 0.5

// OnCriticalPath reports whether the trainer waits for an item whose remaining text is among the longest of the job.
func (j *Job) OnCriticalPath(p *Progress) bool {
	return !j.Optional(p) && float64(p.RemainingTokens()) >= criticalShare*float64(j.longestRemaining())
}

// longestRemaining returns the longest remaining text of the unfinished items that the trainer waits for, in tokens.
func (j *Job) longestRemaining() int {
	longest := 0
	for _, p := range j.items {
		if p.Phase < Scoring && !j.Optional(p) {
			longest = max(longest, p.RemainingTokens())
		}
	}
	return longest
}
