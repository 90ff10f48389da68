package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/presence"
	"github.com/radishshelf/radishshelf/rendezvous"
)

const (
	// superviseInterval is how often jobs without a live owner are looked for.
	superviseInterval = 150 * time.Millisecond
	// adoptStep is how much longer the next process in line waits before it takes a job over itself.
	adoptStep = 600 * time.Millisecond
)

// superviseLoop advances the views that depend on time and takes over jobs whose owner is dead or gave them up.
func (g *Gateway) superviseLoop(ctx context.Context) {
	orphanedSince := map[string]time.Time{}
	for ctx.Err() == nil {
		now := time.Now()
		g.mu.Lock()
		g.peers.Tick(now, g.hearsOthers(now))
		for _, id := range g.upstreams.Expire(now) {
			g.opts.Log.Info().Str("upstream", id).Msg("upstream gone after its entry lapsed")
		}
		due := g.orphans(now, orphanedSince)
		for _, e := range due {
			e.adopting = true
		}
		g.mu.Unlock()
		for _, e := range due {
			go g.recoverPanic("adopt", func() { g.adopt(ctx, e) })
		}
		select {
		case <-ctx.Done():
		case <-g.jobAssigned:
		case <-time.After(superviseInterval):
		}
	}
}

// orphans returns the jobs that this process has to take over now. The caller holds the lock.
func (g *Gateway) orphans(now time.Time, since map[string]time.Time) []*jobEntry {
	var due []*jobEntry
	if g.leaving || g.config == nil || !g.hearsOthers(now) {
		return nil
	}
	live := g.peers.Live()
	for id, e := range g.jobs {
		orphan := e.record.Open() && e.owned == nil && !e.adopting && !e.unsound && !g.expired(e) &&
			(e.record.Owner == "" || e.record.OwnedBy(g.opts.Host, g.opts.Incarnation) ||
				!g.peers.Alive(e.record.Owner, e.record.OwnerIncarnation))
		if !orphan {
			delete(since, id)
			continue
		}
		if _, ok := since[id]; !ok {
			since[id] = now
		}
		if now.Sub(since[id]) >= g.adoptDelay(e, live) {
			delete(since, id)
			due = append(due, e)
		}
	}
	return due
}

// adoptDelay is how long this process leaves an orphaned job to the processes before it in line. A host that is up again is
// the first in line for the jobs that it had: it needs nobody's heartbeat to know that their owner is gone. The caller holds
// the lock.
func (g *Gateway) adoptDelay(e *jobEntry, live []presence.Beat) time.Duration {
	owner := e.record.Owner
	if owner == g.opts.Host {
		if e.record.AcceptedBy == g.opts.Incarnation {
			return adoptStep // the acceptance of the job may still be at work
		}
		return 0
	}
	place := rank(live, e.id, g.opts.Host)
	for _, b := range live {
		if b.Host == owner && b.Incarnation != e.record.OwnerIncarnation && !b.Leaving {
			place++
		}
	}
	return time.Duration(place) * adoptStep
}

// expired reports whether no item of a job has to be tried any more. The caller holds the lock.
func (g *Gateway) expired(e *jobEntry) bool {
	return e.record.Lifetime > 0 && g.storeClock() > e.record.AcceptedAt+2*e.record.Lifetime
}

// rank is the place of a process in the order in which the live ones take a job over; every process computes the same.
func rank(live []presence.Beat, job, host string) int {
	var hosts []string
	for _, b := range live {
		if !b.Leaving {
			hosts = append(hosts, b.Host)
		}
	}
	slices.SortFunc(hosts, func(a, b string) int { return cmp.Compare(rendezvous.Weight(job, b), rendezvous.Weight(job, a)) })
	return max(slices.Index(hosts, host), 0)
}

// adopt takes a job over: it becomes the owner in the store and goes on from the stored results and texts.
func (g *Gateway) adopt(ctx context.Context, e *jobEntry) {
	defer func() {
		g.mu.Lock()
		e.adopting = false
		g.mu.Unlock()
	}()
	stored, err := g.readStored(ctx, e)
	if err != nil {
		g.opts.Log.Warn().Str("job", e.id).Err(err).Msg("job not taken over yet")
		return
	}
	g.mu.Lock()
	record, version := e.record, e.version
	e.unsound = !g.isSound(e, stored.spec)
	unsound := e.unsound
	g.mu.Unlock()
	if unsound {
		return
	}
	from := record.Owner
	if !record.OwnedBy(g.opts.Host, g.opts.Incarnation) {
		record.Owner, record.OwnerIncarnation = g.opts.Host, g.opts.Incarnation
		if committed, err := g.claim(ctx, e, record, version); err != nil || !committed {
			if err != nil {
				g.opts.Log.Warn().Str("job", e.id).Err(err).Msg("job not taken over yet")
			}
			return
		}
	}
	g.startAdopted(e, stored, from)
}

// storedJob is what the store has of a job beside its record and results.
type storedJob struct {
	spec  batch.Spec
	texts map[string]batch.Text
}

// readStored reads the content and the saved texts of a job at the same time. Without its texts a job is run all the same.
func (g *Gateway) readStored(ctx context.Context, e *jobEntry) (storedJob, error) {
	var stored storedJob
	var textsErr error
	var reading sync.WaitGroup
	reading.Go(func() { stored.texts, textsErr = g.readTexts(ctx, e.id) })
	var err error
	stored.spec, err = g.readSpec(ctx, e)
	reading.Wait()
	if textsErr != nil {
		g.opts.Log.Warn().Str("job", e.id).Err(textsErr).Msg("texts of an adopted job not read, its items start again")
	}
	return stored, err
}

// isSound reports whether the record of a job fits itself and the job's content. Running the items of one that does not
// could list an item twice. The caller holds the lock.
func (g *Gateway) isSound(e *jobEntry, spec batch.Spec) bool {
	r := &e.record
	if r.Fits(len(spec.Items)) {
		return true
	}
	g.opts.Log.Error().Str("job", e.id).Int("named", r.Done.Count()).Int("listed", r.Listed).Int("items", len(spec.Items)).
		Int("total", r.Total).Msg("the record of a job contradicts itself or the job's content; its items are not run")
	return false
}

// claim writes the record with this process as the owner under the condition that nobody changed it.
func (g *Gateway) claim(ctx context.Context, e *jobEntry, record batch.Record, version int64) (bool, error) {
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
		g.takeRecord(e.id, record, result.Version)
		return true, nil
	}
	for _, row := range result.Current {
		g.takeJobRow(row)
	}
	return false, nil
}

// startAdopted begins to run a job that this process owns.
func (g *Gateway) startAdopted(e *jobEntry, stored storedJob, from string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.owned != nil || !e.record.Open() || !e.record.OwnedBy(g.opts.Host, g.opts.Incarnation) {
		return
	}
	g.metrics.jobsAdopted.Inc()
	g.opts.Log.Info().Str("job", e.id).Str("from", from).Int("listed", e.record.Listed).Int("total", e.record.Total).
		Int("texts", len(stored.texts)).Msg("job taken over")
	g.own(e, stored.spec, stored.texts)
	g.reuseTexts(e)
}

// readSpec reads the content of a job.
func (g *Gateway) readSpec(ctx context.Context, e *jobEntry) (batch.Spec, error) {
	rows, _, err := readPart(ctx, g.opts.Rows, jobRange(contentTable, e.id), g.storeAnswered)
	if err != nil {
		return batch.Spec{}, err
	}
	g.mu.Lock()
	want := e.record.Chunks
	g.mu.Unlock()
	if len(rows) != want {
		return batch.Spec{}, fmt.Errorf("content of job %s: %d of %d rows", e.id, len(rows), want)
	}
	var content []byte
	for _, r := range rows {
		content = append(content, r.Value...)
	}
	var spec batch.Spec
	if err := json.Unmarshal(content, &spec); err != nil {
		return batch.Spec{}, fmt.Errorf("content of job %s: %w", e.id, err)
	}
	return spec, nil
}

// readTexts reads the saved texts in progress of a job, by item.
func (g *Gateway) readTexts(ctx context.Context, id string) (map[string]batch.Text, error) {
	rows, _, err := readPart(ctx, g.opts.Rows, jobRange(progressTable, id), g.storeAnswered)
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
