package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/presence"
)

const (
	// adoptionInterval is the time between two searches for jobs without a live owner.
	adoptionInterval = 150 * time.Millisecond
	// adoptRankDelay is the delay per rank: the process with rank n waits n times as long before it takes over an
	// orphaned job.
	adoptRankDelay = 600 * time.Millisecond
	// unheardOwnerDelay is how long a process waits for the first heartbeat of an owner that may have started just now: it
	// writes one each interval, and one more covers the way through the store.
	unheardOwnerDelay = 2 * heartbeatInterval
)

// adoptionLoop expires peers and upstreams and takes over jobs whose owner is dead or has released them.
func (g *Gateway) adoptionLoop(ctx context.Context) {
	orphanedSince := map[string]orphanedJob{}
	for ctx.Err() == nil {
		now := time.Now()
		g.mu.Lock()
		g.reportSpread(now)
		g.peers.Tick(now, g.isPeerViewCurrent(now))
		for _, id := range g.upstreams.Expire(now) {
			g.opts.Log.Info().Str("upstream", id).Msg("upstream removed: its registry entry expired")
		}
		due := g.dueOrphans(now, orphanedSince)
		for _, e := range due {
			e.adopting = true
		}
		assigned := g.jobsToPassOn()
		for _, e := range assigned {
			e.adopting = true
		}
		displaced := g.displacedJobs(now)
		g.followEvacuations(now)
		g.mu.Unlock()
		for _, o := range displaced {
			go g.recoverPanic("displace", o.displace)
		}
		for _, e := range assigned {
			go g.recoverPanic("pass on", func() { g.passOn(ctx, e) })
		}
		for _, e := range due {
			go g.recoverPanic("adopt", func() { g.adopt(ctx, e) })
		}
		select {
		case <-ctx.Done():
		case <-g.jobAssigned:
		case <-time.After(adoptionInterval):
		}
	}
}

// orphanedJob is a job without a live owner. since is when it was first seen with this last owner.
type orphanedJob struct {
	owner, incarnation string
	since              time.Time
}

// dueOrphans returns the orphaned jobs that this process has to take over now. since holds the known orphans. The caller
// holds g.mu.
func (g *Gateway) dueOrphans(now time.Time, since map[string]orphanedJob) []*jobEntry {
	var due []*jobEntry
	if g.leaving || g.config == nil || !g.isPeerViewCurrent(now) {
		return nil
	}
	live := g.peers.Live()
	stranded := 0
	for id, e := range g.jobs {
		orphan := e.record.Open() && e.owned == nil && !e.adopting && !e.inconsistent && !g.isExpired(e) &&
			(e.record.Owner == "" || e.record.OwnedBy(g.opts.Host, g.opts.Incarnation) ||
				!g.peers.Alive(e.record.Owner, e.record.OwnerIncarnation) && !g.mayHaveStarted(e, now))
		if orphan && g.isStranded(e, live) {
			stranded++
		}
		if !orphan || !g.mayKeepJob(&e.record) {
			delete(since, id)
			continue
		}
		if o := since[id]; o.since.IsZero() || !e.record.OwnedBy(o.owner, o.incarnation) {
			since[id] = orphanedJob{owner: e.record.Owner, incarnation: e.record.OwnerIncarnation, since: now}
		}
		if now.Sub(since[id].since) >= g.adoptDelay(e, live) {
			delete(since, id)
			due = append(due, e)
		}
	}
	g.recordStranded(stranded)
	return due
}

// adoptDelay returns how long this process waits for processes with a lower rank to take over an orphaned job. A
// restarted host goes first for the jobs that it owned before: it knows without any heartbeat that their owner is
// gone. The caller holds g.mu.
func (g *Gateway) adoptDelay(e *jobEntry, live []presence.Heartbeat) time.Duration {
	owner := e.record.Owner
	if owner == g.opts.Host {
		if e.record.AcceptedBy == g.opts.Incarnation {
			return adoptRankDelay // the submission of the job may still be in progress
		}
		return 0
	}
	live = hostsIn(live, g.jobHosts(&e.record))
	rank := adoptRank(live, e.id, g.opts.Host, &e.record)
	for _, b := range live {
		if b.Host == owner && b.Incarnation != e.record.OwnerIncarnation && !b.Leaving {
			rank++
		}
	}
	return time.Duration(rank) * adoptRankDelay
}

// mayHaveStarted reports whether a process that lately became the owner of a job may have started so late that its first
// heartbeat has not arrived. The caller holds g.mu.
func (g *Gateway) mayHaveStarted(e *jobEntry, now time.Time) bool {
	r := &e.record
	return r.Owner != "" && r.Owner != g.opts.Host && now.Sub(e.ownerChangedAt) < unheardOwnerDelay &&
		!g.peers.Heard(r.Owner, r.OwnerIncarnation)
}

// isExpired reports whether twice the lifetime of a job has passed, after which none of its items is run. The caller
// holds g.mu.
func (g *Gateway) isExpired(e *jobEntry) bool {
	return e.record.Lifetime > 0 && g.storeClock() > e.record.AcceptedAt+2*e.record.Lifetime
}

// adopt takes over a job: it makes this process the owner in the store and resumes from the stored results and texts.
func (g *Gateway) adopt(ctx context.Context, e *jobEntry) {
	defer func() {
		g.mu.Lock()
		e.adopting = false
		g.mu.Unlock()
	}()
	ctx = g.keptIn(ctx, e)
	stored, err := g.readStoredJob(ctx, e)
	if err != nil {
		g.opts.Log.Warn().Str("job", e.id).Err(err).Msg("cannot take over job; will retry")
		return
	}
	g.mu.Lock()
	record, version := e.record, e.version
	e.inconsistent = !g.isRecordConsistent(e, stored.spec)
	inconsistent := e.inconsistent
	g.mu.Unlock()
	if inconsistent {
		return
	}
	before := record
	if !record.OwnedBy(g.opts.Host, g.opts.Incarnation) {
		record.Owner, record.OwnerIncarnation, record.Release = g.opts.Host, g.opts.Incarnation, placement.Release{}
		if committed, err := g.commitRecord(ctx, e, record, version); err != nil || !committed {
			if err != nil {
				g.opts.Log.Warn().Str("job", e.id).Err(err).Msg("cannot take over job; will retry")
			}
			return
		}
	}
	g.startAdopted(e, stored, &before)
}

// storedJob is the stored data of a job besides its record and results.
type storedJob struct {
	spec  batch.Spec
	texts map[string]batch.Text
}

// readStoredJob reads the content and the saved texts of a job concurrently. If only the texts cannot be read, the
// job runs without them.
func (g *Gateway) readStoredJob(ctx context.Context, e *jobEntry) (storedJob, error) {
	var stored storedJob
	var textsErr error
	var reading sync.WaitGroup
	reading.Go(func() { stored.texts, textsErr = g.readSavedTexts(ctx, e.id) })
	var err error
	stored.spec, err = g.readSpec(ctx, e)
	reading.Wait()
	if textsErr != nil {
		g.opts.Log.Warn().Str("job", e.id).Err(textsErr).Msg("cannot read the saved texts of an adopted job; its items restart from the beginning")
	}
	return stored, err
}

// isRecordConsistent reports whether the record of a job agrees with itself and with the job's content, and logs an
// error if not. Running the items of an inconsistent job could list an item twice. The caller holds g.mu.
func (g *Gateway) isRecordConsistent(e *jobEntry, spec batch.Spec) bool {
	r := &e.record
	if r.Consistent(len(spec.Items)) {
		return true
	}
	g.opts.Log.Error().Str("job", e.id).Int("named", r.Done.Count()).Int("listed", r.Listed).Int("items", len(spec.Items)).
		Int("total", r.Total).Msg("job record is inconsistent with itself or with the job's content; its items are not run")
	return false
}

// commitRecord stores a changed record on the condition that the stored one still has the given version. If it does
// not, the stored record is applied here and the result is false.
func (g *Gateway) commitRecord(ctx context.Context, e *jobEntry, record batch.Record, version int64) (bool, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return false, err
	}
	key := jobKey(jobTable, e.id)
	result, err := g.opts.Rows.Commit(ctx, hosting.RowTxn{
		Conditions: []hosting.StoredRow{{RowKey: key, Version: version}},
		Puts:       []hosting.StoredRow{{RowKey: key, Value: value}},
	})
	if err != nil {
		return false, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if result.Committed {
		g.applyRecord(e.id, record, result.Version)
		return true, nil
	}
	for _, row := range result.Current {
		g.applyJobRow(row)
	}
	return false, nil
}

// startAdopted starts to run an adopted job that this process owns. before is its record before the adoption.
func (g *Gateway) startAdopted(e *jobEntry, stored storedJob, before *batch.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.owned != nil || !e.record.Open() || !e.record.OwnedBy(g.opts.Host, g.opts.Incarnation) {
		return
	}
	g.metrics.jobsAdopted.Inc()
	reason, from := g.takeoverReason(before)
	g.opts.Log.Info().Str("job", e.id).Str("from", from).Str("after", reason).Int("listed", e.record.Listed).
		Int("total", e.record.Total).Int("texts", len(stored.texts)).Msg("job taken over")
	g.startOwned(e, stored.spec, stored.texts)
	e.owned.recordTakeover(before.Release)
	g.reuseTexts(e)
}

// readSpec reads the content of a job.
func (g *Gateway) readSpec(ctx context.Context, e *jobEntry) (batch.Spec, error) {
	rows, _, err := readRange(ctx, g.opts.Rows, jobRange(contentTable, e.id), g.recordStoreResponse)
	if err != nil {
		return batch.Spec{}, err
	}
	g.mu.Lock()
	want := e.record.Chunks
	g.mu.Unlock()
	if len(rows) != want {
		return batch.Spec{}, fmt.Errorf("content of job %s has %d of %d rows", e.id, len(rows), want)
	}
	var content []byte
	for _, r := range rows {
		content = append(content, r.Value...)
	}
	var spec batch.Spec
	if err := json.Unmarshal(content, &spec); err != nil {
		return batch.Spec{}, fmt.Errorf("decode content of job %s: %w", e.id, err)
	}
	return spec, nil
}

// readSavedTexts reads the saved texts of a job, by item ID.
func (g *Gateway) readSavedTexts(ctx context.Context, id string) (map[string]batch.Text, error) {
	rows, _, err := readRange(ctx, g.opts.Rows, jobRange(progressTable, id), g.recordStoreResponse)
	if err != nil {
		return nil, err
	}
	texts := make(map[string]batch.Text, len(rows))
	for _, r := range rows {
		var text batch.Text
		if err := json.Unmarshal(r.Value, &text); err != nil {
			g.skipRow(r.RowKey, err)
			continue
		}
		texts[strings.TrimPrefix(r.Key, id+"/")] = text
	}
	return texts, nil
}
