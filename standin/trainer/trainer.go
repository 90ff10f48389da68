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

// Trainer pulls, trains and publishes in a loop.
type Trainer struct {
	settings Settings
	client   *client
	reports  *reportCollector
	log      zerolog.Logger

	mu sync.Mutex
	// cancelSession ends the training of the current lot.
	cancelSession context.CancelFunc
	// checkpoint survives Restart; nil before the first contact with the service.
	checkpoint *position
}

// New returns a Trainer that calls the service with the given HTTP client.
func New(s Settings, httpClient *http.Client, log zerolog.Logger) *Trainer {
	return &Trainer{settings: s, client: &client{settings: s, http: httpClient}, reports: newReportCollector(), log: log}
}

// Report returns what the trainer has seen.
func (t *Trainer) Report() Report { return t.reports.snapshot() }

// Run trains until ctx ends. After Restart it begins again from the last acknowledged lot.
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

// Restart drops the lot in training, as a crash does.
func (t *Trainer) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports.update(func(r *Report) { r.Restarts++ })
	if t.cancelSession != nil {
		t.cancelSession()
	}
}

// position is the trainer's durable state: a real trainer keeps it with its weights.
type position struct {
	// after is the last lot trained on or skipped, step the current weight version.
	after int64
	step  int64
	// published is the last version that the service has confirmed.
	published int64
}

// runSession is one life of the trainer, from start to crash.
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

func (t *Trainer) saveCheckpoint(pos position) {
	t.mu.Lock()
	t.checkpoint = &pos
	t.mu.Unlock()
	t.reports.update(func(r *Report) { r.Acknowledged, r.Step = pos.after, pos.step })
}

// resume returns the checkpoint. A new process has none and asks the service for the last acknowledged lot.
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

// runStep publishes the current version if the service has not confirmed it, or pulls one lot and trains on it.
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

// publish announces the current version. One that the service has already is confirmed.
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

// handlePullError follows the remedy of a handlePullError pull.
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

// backOff waits after a failure as long as the service asks for. It returns an error when ctx ends.
func (t *Trainer) backOff(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	t.reports.update(func(r *Report) { r.Errors++ })
	t.log.Warn().Err(cause).Msg("call failed, trying again")
	delay := t.settings.RetryInterval.D()
	var failed *statusError
	if errors.As(cause, &failed) && failed.retryAfter > 0 {
		delay = failed.retryAfter
	}
	sleep(ctx, delay)
	return ctx.Err()
}

// sleep returns false when ctx ends first.
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
