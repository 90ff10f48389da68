package trainer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/lots"
)

// Trainer pulls lots, trains on them and publishes weight versions in a loop.
type Trainer struct {
	settings Settings
	client   *client
	reports  *reportCollector
	log      zerolog.Logger

	mu sync.Mutex
	// cancelSession cancels the current session, including the training of a lot.
	cancelSession context.CancelFunc
	// checkpoint is kept across Restart. It is nil until the first status response of the service.
	checkpoint *position
}

// New returns a Trainer that calls the service through the given HTTP client.
func New(s Settings, httpClient *http.Client, log zerolog.Logger) *Trainer {
	return &Trainer{settings: s, client: &client{settings: s, http: httpClient}, reports: newReportCollector(), log: log}
}

// Report returns a summary of what the trainer has received.
func (t *Trainer) Report() Report { return t.reports.snapshot() }

// Run trains until ctx is done. After Restart it resumes from the last checkpoint.
func (t *Trainer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sessionCtx, cancel := context.WithCancel(ctx)
		t.mu.Lock()
		t.cancelSession = cancel
		t.mu.Unlock()
		t.runSession(sessionCtx)
		cancel()
	}
}

// Restart simulates a crash: the lot in training is dropped.
func (t *Trainer) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports.update(func(r *Report) { r.Restarts++ })
	if t.cancelSession != nil {
		t.cancelSession()
	}
}

// position is the durable state of the trainer. A real trainer stores it together with its weights.
type position struct {
	// after is the number of the last lot trained on or skipped, step the current weight version.
	after int64
	step  int64
	// published is the latest version whose publication the service has confirmed.
	published int64
}

// runSession trains from the checkpoint until ctx is done. It covers the time from a start of the trainer to a crash.
func (t *Trainer) runSession(ctx context.Context) {
	pos, err := t.resume(ctx)
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		pos = t.runStep(ctx, pos)
		t.saveCheckpoint(pos)
	}
}

// saveCheckpoint stores the position and updates the report.
func (t *Trainer) saveCheckpoint(pos position) {
	t.mu.Lock()
	t.checkpoint = &pos
	t.mu.Unlock()
	t.reports.update(func(r *Report) { r.Acknowledged, r.Step = pos.after, pos.step })
}

// resume returns the checkpoint. A new process has none and asks the service for the last acknowledged lot, with retries until
// ctx is done.
func (t *Trainer) resume(ctx context.Context) (position, error) {
	t.mu.Lock()
	checkpoint := t.checkpoint
	t.mu.Unlock()
	if checkpoint != nil {
		return *checkpoint, nil
	}
	for {
		status, err := t.client.status(ctx)
		if err == nil {
			step := max(status.Step, t.settings.InitialVersion)
			return position{after: status.Acknowledged, step: step, published: step}, nil
		}
		if err := t.backOff(ctx, err); err != nil {
			return position{}, err
		}
	}
}

// runStep publishes the current version if the service has not confirmed it yet. Otherwise it pulls a lot and trains on it.
func (t *Trainer) runStep(ctx context.Context, pos position) position {
	if pos.published < pos.step {
		return t.publish(ctx, pos)
	}
	start := time.Now()
	content, err := t.client.pull(ctx, pos.after, pos.step)
	if err != nil {
		return t.handlePullError(ctx, pos, err)
	}
	if content == nil {
		t.reports.addIdle(time.Since(start))
		return pos
	}
	var lot lots.Content
	if err := json.Unmarshal(content, &lot); err != nil {
		_ = t.backOff(ctx, err)
		return pos
	}
	t.reports.recordPull(lot.Number, content, time.Since(start))
	if !sleep(ctx, t.settings.TrainTime.D()) {
		return pos
	}
	t.reports.recordTrained(lot, pos.step)
	t.log.Info().Int64("lot", lot.Number).Int("samples", len(lot.Samples)).Int64("step", pos.step).Msg("lot trained")
	pos.after = lot.Number
	pos.step++
	return pos
}

// publish publishes the current version. A conflict means that the service already has the version and counts as
// confirmation.
func (t *Trainer) publish(ctx context.Context, pos position) position {
	if t.settings.PublishVersions {
		err := t.client.publish(ctx, pos.step)
		var failed *statusError
		if err != nil && !(errors.As(err, &failed) && failed.status == http.StatusConflict) {
			_ = t.backOff(ctx, err)
			return pos
		}
		t.reports.update(func(r *Report) { r.Published = append(r.Published, pos.step) })
	}
	pos.published = pos.step
	return pos
}

// handlePullError handles a failed pull: it skips a void lot, or adopts the acknowledged lot named by the service and backs
// off.
func (t *Trainer) handlePullError(ctx context.Context, pos position, err error) position {
	var failed *statusError
	if errors.As(err, &failed) && failed.detail.NextLot > 0 {
		t.reports.update(func(r *Report) { r.VoidLots = append(r.VoidLots, failed.detail.VoidLot) })
		pos.after = failed.detail.VoidLot
		return pos
	}
	if errors.As(err, &failed) && failed.detail.Acknowledged != nil {
		pos.after = *failed.detail.Acknowledged
	}
	start := time.Now()
	_ = t.backOff(ctx, err)
	t.reports.addIdle(time.Since(start))
	return pos
}

// backOff counts and logs a failure, and waits for the Retry-After of the service or RetryInterval. It returns an error once
// ctx is done.
func (t *Trainer) backOff(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	t.reports.update(func(r *Report) { r.Errors++ })
	t.log.Warn().Err(cause).Msg("call to the service failed; will retry")
	delay := t.settings.RetryInterval.D()
	var failed *statusError
	if errors.As(cause, &failed) && failed.retryAfter > 0 {
		delay = failed.retryAfter
	}
	sleep(ctx, delay)
	return ctx.Err()
}

// sleep waits for d and returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
