package batch

import (
	"cmp"
	"slices"
	"time"
)

// Job is the in-memory state of a job in the process that owns it.
type Job struct {
	Spec   Spec
	Record Record
	Limits Limits
	items  []*Progress
	byID   map[string]*Progress
	// neededGroups is how many groups, in rank order, the trainer waits for.
	neededGroups int
	// carriedGroups holds the names of the groups carried over from an earlier job.
	carriedGroups map[string]bool
	// unlisted holds the items with a result that is not listed yet, in the order in which they ended.
	unlisted    []*Progress
	listedCount int
	// listedOrder holds the items that this owner has listed, in the order of their positions.
	listedOrder []*Progress
}

// NewJob restores a job from its spec and its stored record.
func NewJob(spec Spec, record Record, limits Limits) *Job {
	record.Done = record.Done.Below(len(spec.Items))
	j := &Job{Spec: spec, Record: record, Limits: limits, byID: make(map[string]*Progress, len(spec.Items))}
	for i := range spec.Items {
		p := &Progress{Item: &spec.Items[i], index: i, rate: limits.Rate, length: limits.Length}
		if record.Done.Has(i) {
			p.Phase = Listed
			j.listedCount++
		}
		j.items = append(j.items, p)
		j.byID[p.Item.ID] = p
	}
	j.rankGroups()
	return j
}

// rankGroups ranks the groups by their longest expected text, so that the groups that the trainer need not wait for are
// the slowest ones. The trainer waits for every group carried over from an earlier job, so those come first.
func (j *Job) rankGroups() {
	type group struct {
		name    string
		index   int
		longest int
	}
	var groups []*group
	byName := map[string]*group{}
	for i, p := range j.items {
		g, ok := byName[p.Item.Group]
		if !ok {
			g = &group{name: p.Item.Group, index: i}
			byName[p.Item.Group] = g
			groups = append(groups, g)
		}
		g.longest = max(g.longest, p.expectedTokens())
	}
	j.neededGroups = len(groups)
	if j.Spec.Desired > 0 {
		j.neededGroups = min(j.Spec.Desired, len(groups))
	}
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Or(compareBool(!j.carriedGroups[a.name], !j.carriedGroups[b.name]), cmp.Compare(a.longest, b.longest))
	})
	rank := make(map[string]int, len(groups))
	for i, g := range groups {
		rank[g.name] = i
	}
	for _, p := range j.items {
		p.groupRank = rank[p.Item.Group]
	}
}

// Get returns the progress of the item with an ID.
func (j *Job) Get(id string) (*Progress, bool) {
	p, ok := j.byID[id]
	return p, ok
}

// Items returns the items in the order in which they were submitted.
func (j *Job) Items() []*Progress { return j.items }

// Start marks an item as running.
func (j *Job) Start(p *Progress) {
	p.Phase = Running
}

// Requeue returns a running item to the waiting ones. It keeps the text generated so far if its weight versions are
// still allowed.
func (j *Job) Requeue(p *Progress, notBefore time.Time, avoid string) {
	if p.Phase != Running {
		return
	}
	p.Phase, p.NotBefore, p.Avoid = Waiting, notBefore, avoid
	if !p.Text.VersionsAllowed(j.Spec.MinVersion, j.Limits.SingleVersion) {
		p.Text.Reset()
	}
}

// MayContinue reports whether an engine that serves a weight version may generate the rest of an item's text.
func (j *Job) MayContinue(p *Progress, version int64) bool {
	text := p.Text
	return len(text.Versions) == 0 || !j.Limits.SingleVersion || text.Versions[len(text.Versions)-1] == version
}

// RunFailed counts a failed run, and abandons the item when Limits.MaxFailures is reached.
func (j *Job) RunFailed(p *Progress, notBefore time.Time, avoid string) {
	p.Failures++
	p.Text.Reset()
	if p.Failures >= j.Limits.MaxFailures {
		j.Abandon(p)
		return
	}
	j.Requeue(p, notBefore, avoid)
}

// TextComplete records that the text of a running item is complete. A text with weight versions that are not allowed is
// dropped and the item starts again.
func (j *Job) TextComplete(p *Progress, now time.Time) {
	if p.Phase != Running {
		return
	}
	if !p.Text.VersionsAllowed(j.Spec.MinVersion, j.Limits.SingleVersion) {
		p.Text.Reset()
		j.Requeue(p, now, "")
		return
	}
	if p.Item.Score == nil {
		j.succeed(p, "")
		return
	}
	p.Phase = Scoring
}

// Reuse takes over a text generated for the same item in an earlier job, if its weight versions are allowed and it is
// complete or longer than the current text. It reports whether the text is complete and now needs a score. It applies
// to waiting items only.
func (j *Job) Reuse(p *Progress, text Text) (scoring bool) {
	if p.Phase != Waiting || !text.VersionsAllowed(j.Spec.MinVersion, j.Limits.SingleVersion) || len(text.Versions) == 0 {
		return false
	}
	if !text.Complete {
		if text.LastEventID() > p.Text.LastEventID() {
			p.Text = text
		}
		return false
	}
	p.Text = text
	if p.Item.Score == nil {
		j.succeed(p, "")
		return false
	}
	p.Phase = Scoring
	return true
}

// TextOf returns the text of an item as far as it is generated, including that of a finished item.
func (j *Job) TextOf(p *Progress) Text {
	if p.Phase == Finished && p.result.State == Succeeded {
		return p.result.Text()
	}
	return p.Text
}

// Scored records the score of a complete text.
func (j *Job) Scored(p *Progress, score string) {
	if p.Phase == Scoring {
		j.succeed(p, score)
	}
}

// ScoreFailed counts a failed score call. It abandons the item when limit calls have failed, and reports whether it
// did.
func (j *Job) ScoreFailed(p *Progress, limit int) bool {
	p.ScoreFailures++
	if p.ScoreFailures < limit {
		return false
	}
	j.Abandon(p)
	return true
}

func (j *Job) succeed(p *Progress, score string) {
	j.finish(p, Result{
		ID: p.Item.ID, State: Succeeded, Output: p.Text.Output(), Versions: p.Text.Versions, Score: score,
	})
}

// Abandon finishes an item without a text.
func (j *Job) Abandon(p *Progress) { j.finish(p, Result{ID: p.Item.ID, State: Abandoned}) }

func (j *Job) finish(p *Progress, r Result) {
	if p.Phase >= Finished {
		return
	}
	p.Phase, p.result, p.finalText = Finished, r, p.Text.Summary()
	p.finalText.Complete = r.State == Succeeded
	p.Text.Events = nil
	j.unlisted = append(j.unlisted, p)
}

// Unlisted returns the results that are not listed yet, in the order of their positions, which start at Record.Listed.
func (j *Job) Unlisted() []Result {
	list := make([]Result, 0, len(j.unlisted))
	for _, p := range j.unlisted {
		list = append(list, p.result)
	}
	return list
}

// DoneAfterListing returns the set of listed items once the first n unlisted results are stored.
func (j *Job) DoneAfterListing(n int) Bitset {
	var list []int
	for _, p := range j.unlisted[:n] {
		list = append(list, p.index)
	}
	return j.Record.Done.With(list...)
}

// EnoughAfterListing reports whether the trainer has all groups that it waits for once the first n unlisted results are
// stored: the desired number of groups, including all groups carried over from an earlier job.
func (j *Job) EnoughAfterListing(n int) bool {
	listed := make(map[*Progress]bool, n)
	for _, p := range j.unlisted[:n] {
		listed[p] = true
	}
	missing, groups := map[string]bool{}, map[string]bool{}
	for _, p := range j.items {
		groups[p.Item.Group] = true
		if p.Phase != Listed && !listed[p] {
			missing[p.Item.Group] = true
		}
	}
	for name := range missing {
		if j.carriedGroups[name] {
			return false
		}
	}
	return len(groups)-len(missing) >= j.neededGroups
}

// MarkListed records that the first n unlisted results are stored.
func (j *Job) MarkListed(n int) {
	for _, p := range j.unlisted[:n] {
		p.Phase = Listed
		p.result = Result{}
		j.listedCount++
		j.listedOrder = append(j.listedOrder, p)
	}
	j.unlisted = slices.Delete(j.unlisted, 0, n)
}

// Complete reports whether every item is listed.
func (j *Job) Complete() bool { return j.listedCount == len(j.items) }

// Waiting returns the waiting items that may be sent to an upstream at now.
func (j *Job) Waiting(now time.Time) []*Progress {
	var list []*Progress
	for _, p := range j.items {
		if p.Phase == Waiting && !now.Before(p.NotBefore) {
			list = append(list, p)
		}
	}
	return list
}

// Optional reports whether the trainer does not wait for the group of an item.
func (j *Job) Optional(p *Progress) bool { return p.groupRank >= j.neededGroups }

// Count returns the number of items in a phase.
func (j *Job) Count(phase Phase) int {
	n := 0
	for _, p := range j.items {
		if p.Phase == phase {
			n++
		}
	}
	return n
}
