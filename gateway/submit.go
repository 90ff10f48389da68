package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/outcome"
)

// Limits of job submission.
const (
	// acceptTimeout is how long the storing of a job that certainly is not stored is retried before the job is
	// refused.
	acceptTimeout = 600 * time.Millisecond
	// uncertainTimeout is how long a transaction without a response is retried to learn its outcome.
	uncertainTimeout = 3 * time.Second
	// acceptRetryDelay is the delay between two attempts.
	acceptRetryDelay = 60 * time.Millisecond
	// maxJobIDBytes limits the ID of a job, which is part of the keys of its rows.
	maxJobIDBytes = 80
	// maxTxnBytes limits the values of one transaction; the store takes 1 MB of encoded rows.
	maxTxnBytes = 600 << 10
	// rowOverhead is reserved in a row for its encoding.
	rowOverhead = 4 << 10
)

// submit accepts a batch job once it is stored.
func (g *Gateway) submit(ctx context.Context, r *call.Request, auth *authorization) (*call.Response, error) {
	if r.ID == "" || len(r.ID) > maxJobIDBytes {
		return nil, newRefusal(outcome.KindInvalid, http.StatusBadRequest, "the job has no usable ID", "send an ID of 1 to 80 bytes")
	}
	spec, err := g.opts.Codec.DecodeBatch(r.Body)
	if err != nil {
		return nil, newRefusal(outcome.KindInvalid, http.StatusBadRequest, err.Error(), "correct the body")
	}
	spec.ID = r.ID
	g.mu.Lock()
	known := g.jobs[r.ID]
	leaving := g.leaving
	record := batch.Record{
		Host: r.Host, PathPrefix: auth.route.PathPrefix, Workspace: auth.workspaceName(), Model: spec.Model,
		MinVersion: spec.MinVersion, AcceptedBy: g.opts.Incarnation, AcceptedAt: g.storeClock(), AcceptedIn: g.ownRegion(),
		Due: auth.route.Due, Lifetime: auth.route.ItemLifetime, Total: len(spec.Items),
	}
	setRouteLimits(&record, auth.config, auth.route)
	record.Owner, record.OwnerIncarnation = g.chooseOwner(trainerKey(&record), g.jobHomes(&record), len(spec.Items))
	if known != nil && known.record.Workspace == record.Workspace {
		g.mu.Unlock()
		return acceptedResponse(), nil
	}
	refusal := g.checkJobScope(&record, auth.route)
	g.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	if leaving {
		return nil, unavailable(outcome.KindLeaving, "this process is shutting down", retryAfterStart)
	}
	content, err := json.Marshal(spec)
	if err != nil {
		return nil, newRefusal(outcome.KindInvalid, http.StatusBadRequest, err.Error(), "correct the body")
	}
	a := &acceptance{g: g, spec: spec, record: record, chunks: splitContent(spec.ID, content, g.opts.MaxRowBytes-rowOverhead)}
	a.record.Chunks = len(a.chunks)
	return a.run(ctx)
}

func acceptedResponse() *call.Response {
	return &call.Response{
		Status: http.StatusAccepted, Header: http.Header{"Content-Type": {"application/json"}}, Body: []byte("{}"),
	}
}

// splitContent splits the content of a job into rows.
func splitContent(id string, content []byte, size int) []hosting.StoredRow {
	var rows []hosting.StoredRow
	for len(content) > 0 {
		n := min(size, len(content))
		rows = append(rows, hosting.StoredRow{RowKey: chunkKey(id, len(rows)), Value: content[:n]})
		content = content[n:]
	}
	return rows
}

// acceptance stores a job on the condition that it does not exist yet.
type acceptance struct {
	g      *Gateway
	spec   batch.Spec
	record batch.Record
	chunks []hosting.StoredRow
	// uncertain is set once a transaction was sent whose outcome is unknown.
	uncertain bool
}

func (a *acceptance) run(ctx context.Context) (*call.Response, error) {
	started := time.Now()
	ctx = a.g.acceptedIn(ctx, &a.record)
	value, err := json.Marshal(a.record)
	if err != nil {
		return nil, newRefusal(outcome.KindInvalid, http.StatusBadRequest, err.Error(), "correct the body")
	}
	for {
		result, err := a.commit(ctx, value)
		switch {
		case err == nil && result.Committed:
			a.g.startAccepted(a.spec, a.record, result.Version)
			return acceptedResponse(), nil
		case err == nil:
			return a.respondExisting(result)
		case hosting.IsKind(err, hosting.KindUnknown):
			a.uncertain = true
		case hosting.IsKind(err, hosting.KindInvalid):
			return nil, newRefusal(outcome.KindPayloadTooLarge, http.StatusRequestEntityTooLarge, err.Error(), "submit a smaller job")
		}
		if done := a.retryDeadlineError(ctx, started, err); done != nil {
			return nil, done
		}
		sleep(ctx, acceptRetryDelay)
	}
}

// retryDeadlineError returns the final error once no further attempt is due. It may promise that nothing runs only if
// no transaction is in flight.
func (a *acceptance) retryDeadlineError(ctx context.Context, started time.Time, err error) error {
	waited := time.Since(started)
	if !a.uncertain && (waited > acceptTimeout || ctx.Err() != nil) {
		return unavailable(outcome.KindStoreDown, "the store does not accept the job now", retryAfterStoreOutage)
	}
	if a.uncertain && (waited > uncertainTimeout || ctx.Err() != nil) {
		return outcomeUnknown(outcome.KindStoreDown, http.StatusGatewayTimeout, "it is not known whether the job was stored", err)
	}
	return nil
}

// commit stores the content and the record. Content beyond the size of one transaction is stored before the record;
// only the record makes the job exist.
func (a *acceptance) commit(ctx context.Context, value []byte) (hosting.RowTxnResult, error) {
	rest := a.chunks
	size := 0
	for _, c := range rest {
		size += len(c.Value)
	}
	for size > maxTxnBytes {
		n, part := 0, 0
		for part+len(rest[n].Value) <= maxTxnBytes {
			part += len(rest[n].Value)
			n++
		}
		if _, err := a.g.opts.Rows.Commit(ctx, hosting.RowTxn{Puts: rest[:n]}); err != nil {
			return hosting.RowTxnResult{}, err
		}
		rest, size = rest[n:], size-part
	}
	key := jobKey(jobTable, a.spec.ID)
	return a.g.opts.Rows.Commit(ctx, hosting.RowTxn{
		Conditions: []hosting.StoredRow{{RowKey: key}},
		Puts:       append([]hosting.StoredRow{{RowKey: key, Value: value}}, rest...),
	})
}

// respondExisting responds for a job that is already in the store: stored by another process, or by an earlier attempt
// of this one whose response was lost.
func (a *acceptance) respondExisting(result hosting.RowTxnResult) (*call.Response, error) {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	if len(result.Current) == 0 {
		return nil, outcomeUnknown(outcome.KindStoreDown, http.StatusBadGateway, "the store returned no row", nil)
	}
	e := a.g.applyJobRow(result.Current[0])
	if e == nil {
		return nil, outcomeUnknown(outcome.KindStoreDown, http.StatusBadGateway, "the job's record cannot be decoded", nil)
	}
	if e.record.Workspace != a.record.Workspace {
		return nil, newRefusal(outcome.KindConflict, http.StatusConflict, "the ID belongs to another job", "choose a new ID")
	}
	if e.record.OwnedBy(a.g.opts.Host, a.g.opts.Incarnation) && e.owned == nil && e.record.Open() {
		a.g.startOwned(e, a.spec, nil)
	}
	return acceptedResponse(), nil
}

// startAccepted records a job that this process has stored and runs it if this process owns it.
func (g *Gateway) startAccepted(spec batch.Spec, record batch.Record, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.applyRecord(spec.ID, record, version)
	g.metrics.jobsAccepted.Inc()
	g.opts.Log.Info().Str("job", spec.ID).Str("model", spec.Model).Int64("step", spec.Step).
		Int64("min_version", spec.MinVersion).Int("items", len(spec.Items)).Int("desired", spec.Desired).
		Str("workspace", record.Workspace).Str("owner", record.Owner).Msg("job accepted")
	if e.owned == nil && e.record.OwnedBy(g.opts.Host, g.opts.Incarnation) {
		g.startOwned(e, spec, nil)
		g.reuseTexts(e)
	}
}
