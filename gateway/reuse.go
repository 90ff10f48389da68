package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/batch"
)

// Looking for texts of earlier jobs. Groups that were not complete when a trainer ended its job come again in a later
// one, and they hold the longest texts.
const (
	// reuseTimeout is how long the items of a new job wait for the texts of the earlier one.
	reuseTimeout = 300 * time.Millisecond
	// reuseAge is the age up to which an earlier job is looked at.
	reuseAge = 40 * time.Second
	// maxEarlier bounds the jobs that are looked at. A process that has just started does not know when jobs ended, so that
	// all of the last reuseAge would count; the groups of the older ones have come again since.
	maxEarlier = 3
)

// reuseTexts holds the items of an owned job of which nothing is listed until what the jobs before it left was read. The
// caller holds the lock.
func (g *Gateway) reuseTexts(e *jobEntry) {
	earlier := g.earlierJobs(e)
	o := e.owned
	if len(earlier) == 0 {
		return
	}
	if known, ok := knownLeftovers(earlier); ok {
		o.job.CarryOver(known.left)
		o.scoreAll(o.takeTexts(known.texts))
		return
	}
	o.held = e.record.Listed == 0
	g.workWG.Go(func() {
		left, texts := g.leftOf(o.ctx, earlier, o.job.Spec.MinVersion)
		g.mu.Lock()
		o.held = false
		o.job.CarryOver(left)
		scoring := o.takeTexts(texts)
		g.mu.Unlock()
		o.scoreAll(scoring)
		g.wakeScheduler()
	})
}

// trainerOf names the trainer that handed a job in: all its jobs have the workspace, route and model in common.
func trainerOf(r *batch.Record) string {
	return r.Workspace + " " + r.Host + r.PathPrefix + " " + r.Model
}

// scoreAll obtains the scores of whole texts and has the lister look for items that need none.
func (o *ownedJob) scoreAll(list []*batch.Progress) {
	for _, p := range list {
		o.g.workWG.Go(func() {
			o.guarded("score", func() { o.score(p) })
			o.signal()
		})
	}
	o.signal()
}

// earlierJobs returns the jobs of the same trainer that ended and whose groups no job since has taken over: those that ended
// after the trainer's last job was handed in, the newest first. The caller holds the lock.
func (g *Gateway) earlierJobs(e *jobEntry) []*jobEntry {
	var ended []*jobEntry
	var lastAccepted time.Duration
	for _, other := range g.jobs {
		r := &other.record
		if other == e || trainerOf(r) != trainerOf(&e.record) ||
			r.AcceptedAt > e.record.AcceptedAt || e.record.AcceptedAt-r.AcceptedAt > reuseAge {
			continue
		}
		lastAccepted = max(lastAccepted, r.AcceptedAt)
		if r.Ended {
			ended = append(ended, other)
		}
	}
	ended = slices.DeleteFunc(ended, func(j *jobEntry) bool { return j.endedAt < lastAccepted })
	slices.SortFunc(ended, func(a, b *jobEntry) int { return cmp.Compare(b.record.AcceptedAt, a.record.AcceptedAt) })
	return ended[:min(len(ended), maxEarlier)]
}

// leftOf reads what earlier jobs left of their incomplete groups, by item, and the texts that were made by minVersion or
// newer weights. Of two entries for an item the longer one counts.
func (g *Gateway) leftOf(
	ctx context.Context, earlier []*jobEntry, minVersion int64,
) (map[string]batch.Left, map[string]batch.Text) {
	ctx, cancel := context.WithTimeout(ctx, reuseTimeout)
	defer cancel()
	left, texts := map[string]batch.Left{}, map[string]batch.Text{}
	for _, e := range earlier {
		fits := false
		for id, l := range g.readLeft(ctx, e.id) {
			if l.Events >= left[id].Events {
				left[id] = l
			}
			fits = fits || l.Oldest >= minVersion
		}
		if !fits {
			continue
		}
		for id, text := range g.textsOf(ctx, e) {
			if known := texts[id]; text.Length() >= known.Length() {
				texts[id] = text
			}
		}
	}
	return left, texts
}

// readLeft reads what an ended job left.
func (g *Gateway) readLeft(ctx context.Context, id string) map[string]batch.Left {
	rows, _, err := readPart(ctx, g.opts.Rows, jobRange(leftTable, id), g.storeAnswered)
	if err != nil {
		g.opts.Log.Info().Str("job", id).Err(err).Msg("what an earlier job left was not read")
	}
	left := map[string]batch.Left{}
	for _, r := range rows {
		if err := json.Unmarshal(r.Value, &left); err != nil {
			g.skipRow(r.RowKey, err)
		}
	}
	return left
}

// textsOf reads the texts of a job that has ended, whole ones and those in progress, by item.
func (g *Gateway) textsOf(ctx context.Context, e *jobEntry) map[string]batch.Text {
	texts, err := g.readTexts(ctx, e.id)
	if err != nil {
		g.opts.Log.Info().Str("job", e.id).Err(err).Msg("texts of an earlier job not read")
		texts = map[string]batch.Text{}
	}
	results, err := g.readResultRows(ctx, e.id, 0)
	if err != nil {
		g.opts.Log.Info().Str("job", e.id).Err(err).Msg("results of an earlier job not read")
	}
	for _, r := range results {
		if r.State == batch.Succeeded {
			texts[r.ID] = r.Text()
		}
	}
	return texts
}

// takeTexts gives the items of the job the saved texts that fit, and returns the items whose text is whole. The caller holds
// the lock.
func (o *ownedJob) takeTexts(texts map[string]batch.Text) []*batch.Progress {
	var scoring []*batch.Progress
	offered, whole, begun := 0, 0, 0
	for _, p := range o.job.Items() {
		text, ok := texts[p.Item.ID]
		if !ok {
			continue
		}
		offered++
		switch {
		case o.job.Reuse(p, text):
			whole++
			scoring = append(scoring, p)
		case p.Phase == batch.Finished:
			whole++
		case p.Text.Last() > 0:
			begun++
		}
	}
	if offered > 0 || o.job.Carried() > 0 {
		o.g.opts.Log.Info().Str("job", o.entry.id).Int("offered", offered).Int("whole", whole).Int("begun", begun).
			Int("carried_groups", o.job.Carried()).Msg("saved texts used")
	}
	return scoring
}
