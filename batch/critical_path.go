package batch

// criticalShare is the fraction of the longest remaining text of a job from which on a text counts as being on the
// critical path. It is 0.5 because the median estimate is right within a factor of two.
const criticalShare = 0.5

// OnCriticalPath reports whether the trainer waits for the item and its remaining text is among the longest of the job.
func (j *Job) OnCriticalPath(p *Progress) bool {
	return !j.Optional(p) && float64(p.RemainingTokens()) >= criticalShare*float64(j.longestRemaining())
}

// longestRemaining returns the length in tokens of the longest remaining text among the unfinished items that the
// trainer waits for.
func (j *Job) longestRemaining() int {
	longest := 0
	for _, p := range j.items {
		if p.Phase < Scoring && !j.Optional(p) {
			longest = max(longest, p.RemainingTokens())
		}
	}
	return longest
}
