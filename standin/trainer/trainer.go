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
	ledger   *ledger
	log      zerolog.Logger

	mu sync.Mutex
	// abort ends the training of the current lot.
	abort context.CancelFunc
	// checkpoint survives Restart; nil before the first contact with the service.
	checkpoint *position
}

// New returns a Trainer that calls the service with the given HTTP client.
func New(s Settings, httpClient *http.Client, log zerolog.Logger) *Trainer {
	return &Trainer{settings: s, client: &client{settings: s, http: httpClient}, ledger: newLedger(), log: log}
}

// Report returns what the trainer has seen.
func (t *Trainer) Report() Report { return t.ledger.current() }

// Run trains until ctx ends. After Restart it begins again from the last acknowledged lot.
func (t *Trainer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		life, abort := context.WithCancel(ctx)
		t.mu.Lock()
		t.abort = abort
		t.mu.Unlock()
		t.live(life)
		abort()
	}
}

// Restart drops the lot in training, as a crash does.
func (t *Trainer) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.change(func(r *Report) { r.Restarts++ })
	if t.abort != nil {
		t.abort()
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

// live is one life of the trainer, from start to crash.
func (t *Trainer) live(ctx context.Context) {
	at, err := t.resume(ctx)
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		at = t.round(ctx, at)
		t.save(at)
	}
}

func (t *Trainer) save(at position) {
	t.mu.Lock()
	t.checkpoint = &at
	t.mu.Unlock()
	t.ledger.change(func(r *Report) { r.Acknowledged, r.Step = at.after, at.step })
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
		if err := t.pause(ctx, err); err != nil {
			return position{}, err
		}
	}
}

// round publishes the current version if the service has not confirmed it, or pulls one lot and trains on it.
func (t *Trainer) round(ctx context.Context, at position) position {
	if at.published < at.step {
		return t.publish(ctx, at)
	}
	start := time.Now()
	content, err := t.client.pull(ctx, at.after, at.step)
	if err != nil {
		return t.refused(ctx, at, err)
	}
	if content == nil {
		t.ledger.idleFor(time.Since(start))
		return at
	}
	var lot lots.Content
	if err := json.Unmarshal(content, &lot); err != nil {
		_ = t.pause(ctx, err)
		return at
	}
	t.ledger.received(lot.Number, content, time.Since(start))
	if !wait(ctx, t.settings.TrainTime.D()) {
		return at
	}
	t.ledger.trained(lot, at.step)
	t.log.Info().Int64("lot", lot.Number).Int("samples", len(lot.Samples)).Int64("step", at.step).Msg("lot trained")
	at.after = lot.Number
	at.step++
	return at
}

// publish announces the current version. One that the service has already is confirmed.
func (t *Trainer) publish(ctx context.Context, at position) position {
	if t.settings.PublishVersions {
		err := t.client.publish(ctx, at.step)
		var failed *callError
		if err != nil && !(errors.As(err, &failed) && failed.status == http.StatusConflict) {
			_ = t.pause(ctx, err)
			return at
		}
		t.ledger.change(func(r *Report) { r.Published = append(r.Published, at.step) })
	}
	at.published = at.step
	return at
}

// refused follows the remedy of a refused pull.
func (t *Trainer) refused(ctx context.Context, at position, err error) position {
	var failed *callError
	if errors.As(err, &failed) && failed.detail.NextLot > 0 {
		t.ledger.change(func(r *Report) { r.VoidLots = append(r.VoidLots, failed.detail.VoidLot) })
		at.after = failed.detail.VoidLot
		return at
	}
	if errors.As(err, &failed) && failed.detail.Acknowledged != nil {
		at.after = *failed.detail.Acknowledged
	}
	start := time.Now()
	_ = t.pause(ctx, err)
	t.ledger.idleFor(time.Since(start))
	return at
}

// pause waits after a failure as long as the service asks for. It returns an error when ctx ends.
func (t *Trainer) pause(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	t.ledger.change(func(r *Report) { r.Errors++ })
	t.log.Warn().Err(cause).Msg("call failed, trying again")
	delay := t.settings.RetryInterval.D()
	var failed *callError
	if errors.As(cause, &failed) && failed.retryAfter > 0 {
		delay = failed.retryAfter
	}
	wait(ctx, delay)
	return ctx.Err()
}

// wait returns false when ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
