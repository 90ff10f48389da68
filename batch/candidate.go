package batch

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a waiting item with its job.
type Candidate struct {
	Job  *Job
	Item *Progress
}

// SortCandidates sorts candidates by the order in which they should run. Items that the trainer waits for come first;
// among them the job that is due first, then the longest remaining text, because that text decides when its group is
// complete.
func SortCandidates(list []Candidate) {
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(
			compareBool(a.Job.Optional(a.Item), b.Job.Optional(b.Item)),
			cmp.Compare(a.due(), b.due()),
			cmp.Compare(b.Item.RemainingTokens(), a.Item.RemainingTokens()),
			cmp.Compare(a.Item.groupRank, b.Item.groupRank),
		)
	})
}

func (c Candidate) due() time.Duration { return c.Job.Record.AcceptedAt + c.Job.Record.Due }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
