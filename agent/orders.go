package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/fencing"
	"github.com/radishshelf/radishshelf/rpc"
)

// Figures of the orders.
const (
	// minLearnEntries entries must report the highest term after a start.
	minLearnEntries = 2
	// maxLearnRounds is after how many heartbeat rounds fewer entries suffice.
	maxLearnRounds  = 3
	activateTimeout = time.Minute
)

// errVersionUnknown puts an order off until a probe has named the version of the engine.
var errVersionUnknown = errors.New("the engine's version is not known yet")

// errSuperseded ends an order for which a newer one arrived.
var errSuperseded = errors.New("a newer order arrived")

// orderReconciler carries out the wanted state that entries report. It is level-triggered: the state is compared with that of the
// engine again and again, so a lost order or a failed swap is repaired by the next look.
type orderReconciler struct {
	agent *Agent

	mu     sync.Mutex
	gate   *fencing.Gate
	rounds int
	wanted *rpc.WantedState
	// wantedSince is when the mark of wanted was first seen.
	wantedSince time.Time
	// fallbackJitter is added to storeFallback for wanted.
	fallbackJitter time.Duration
	// lastRefused is the mark lastRefused last, so that a stale entry makes one log line and not one per second.
	lastRefused fencing.Mark
	// cancelStaging ends the staging of staging, for an order that no longer wants that version.
	cancelStaging  context.CancelFunc
	stagingVersion int64
	wakeCh         chan struct{}
}

func newOrderReconciler(a *Agent) *orderReconciler {
	return &orderReconciler{agent: a, gate: fencing.NewGate(minLearnEntries), wakeCh: make(chan struct{}, 1)}
}

func markOf(w *rpc.WantedState) fencing.Mark {
	return fencing.Mark{Term: w.GetTerm(), Revision: w.GetRevision()}
}

// receiveWanted takes the wanted state of one entry's reply; nil means that the entry wants nothing.
func (o *orderReconciler) receiveWanted(entry string, w *rpc.WantedState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// An entry without a wanted state may not have read the configuration yet, so its silence proves no term.
	if w == nil {
		return
	}
	if w.Policy != o.agent.settings.Serves {
		o.recordRefusal(entry, w, fmt.Errorf("policy %q is not served here", w.Policy))
		return
	}
	o.gate.Learn(entry, markOf(w))
	err := o.gate.Accept(markOf(w))
	var stale *fencing.StaleError
	if errors.As(err, &stale) {
		o.recordRefusal(entry, w, err)
	}
	if err != nil {
		return
	}
	o.setWanted(w)
}

func (o *orderReconciler) recordRefusal(entry string, w *rpc.WantedState, err error) {
	o.agent.metrics.ordersRefused.Inc()
	if o.lastRefused == markOf(w) {
		return
	}
	o.lastRefused = markOf(w)
	o.agent.logger.Warn().Str("entry", entry).Int64("term", w.Term).Int64("revision", w.Revision).Err(err).
		Msg("order refused")
}

func (o *orderReconciler) setWanted(w *rpc.WantedState) {
	if o.wanted != nil && markOf(o.wanted) == markOf(w) {
		o.updateSources(w)
		return
	}
	o.wanted, o.wantedSince = w, time.Now()
	o.fallbackJitter = rand.N(storeFallbackJitter)
	if o.cancelStaging != nil && o.stagingVersion != w.StageVersion && o.stagingVersion != w.ActivateVersion {
		o.cancelStaging()
	}
	o.agent.logger.Info().Int64("term", w.Term).Int64("revision", w.Revision).Int64("stage", w.StageVersion).
		Int64("activate", w.ActivateVersion).Msg("order accepted")
	o.wake()
}

func (o *orderReconciler) wake() {
	select {
	case o.wakeCh <- struct{}{}:
	default:
	}
}

// finishRound counts a heartbeat round in which an entry reported a term. After a few, the ones that did must do.
func (o *orderReconciler) finishRound(answered int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gate.Ready() || answered == 0 || o.gate.Learned() == 0 {
		return
	}
	o.rounds++
	if o.rounds >= maxLearnRounds {
		o.gate.Settle()
	}
}

func (o *orderReconciler) highestTerm() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gate.Highest().Term
}

// run carries out orders until ctx ends.
func (o *orderReconciler) run(ctx context.Context) {
	var backoff orderBackoff
	for {
		if backoff.swapFailures > 0 {
			// The probe names the version that the swap left, without which it is not repeated.
			_ = o.agent.probe(ctx)
		}
		current := o.currentMark()
		err := o.reconcile(ctx)
		delay := backoff.nextDelay(current, err, rand.Float64())
		if err != nil && !errors.Is(err, errSuperseded) && !errors.Is(err, errVersionUnknown) {
			o.agent.metrics.ordersFailed.Inc()
			o.agent.logger.Warn().Err(err).Dur("retry_ms", delay).Msg("order failed")
		}
		if !o.wait(ctx, delay, backoff) {
			return
		}
	}
}

// wait returns after the pause or with a signal, and false when ctx ends. A new source does not end the pause of a swap
// that failed; a newer order does.
func (o *orderReconciler) wait(ctx context.Context, delay time.Duration, backoff orderBackoff) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-o.wakeCh:
			if backoff.swapFailures == 0 || o.currentMark() != backoff.mark {
				return true
			}
		}
	}
}

func (o *orderReconciler) currentMark() fencing.Mark {
	o.mu.Lock()
	defer o.mu.Unlock()
	return markOf(o.wanted)
}

// reconcile compares the wanted state with the engine and closes the difference.
func (o *orderReconciler) reconcile(ctx context.Context) error {
	w := o.wantedState()
	if w == nil {
		return nil
	}
	if !o.agent.versions.isProbed() {
		return errVersionUnknown
	}
	status, _ := o.agent.versions.current()
	if w.ActivateVersion != 0 && w.ActivateVersion != status.ActiveVersion {
		// A restarted engine gets the version to serve before the one to preload.
		if err := o.ensureStaged(ctx, w, w.ActivateVersion); err != nil {
			return err
		}
		if err := o.activate(ctx, w); err != nil {
			return err
		}
	}
	return o.ensureStaged(ctx, w, w.StageVersion)
}

func (o *orderReconciler) ensureStaged(ctx context.Context, w *rpc.WantedState, version int64) error {
	status, _ := o.agent.versions.current()
	if version == 0 || version == status.ActiveVersion || slices.Contains(status.StagedVersions, version) {
		return nil
	}
	if !o.canStage(w, version) {
		return nil
	}
	if err := o.stage(ctx, w, version); err != nil {
		return o.checkSuperseded(w, err)
	}
	return nil
}

func (o *orderReconciler) wantedState() *rpc.WantedState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.wanted
}

// stagingContext returns a context that a newer order ends if it does not want the version.
func (o *orderReconciler) stagingContext(ctx context.Context, version int64) (context.Context, context.CancelFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ctx, o.cancelStaging = context.WithCancel(ctx)
	o.stagingVersion = version
	return ctx, o.cancelStaging
}

// checkSuperseded replaces the error of an order that a newer one cut short.
func (o *orderReconciler) checkSuperseded(w *rpc.WantedState, err error) error {
	if o.isCurrent(w) {
		return err
	}
	return errSuperseded
}

func (o *orderReconciler) isCurrent(w *rpc.WantedState) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return markOf(o.wanted) == markOf(w) && !markOf(w).Less(o.gate.Highest())
}

func (o *orderReconciler) stage(ctx context.Context, w *rpc.WantedState, version int64) error {
	start := time.Now()
	ctx, cancel := o.stagingContext(ctx, version)
	defer cancel()
	status, err := o.agent.engine.stage(ctx, o.newOrder(w, version))
	if err != nil {
		return err
	}
	o.agent.versions.setStaged(status)
	o.recordDone("stage", w, version, start)
	return nil
}

// activate swaps the weights. The swap is not cancelled by a newer order, since that would leave the version unknown.
func (o *orderReconciler) activate(ctx context.Context, w *rpc.WantedState) error {
	if !o.isCurrent(w) {
		return errSuperseded
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), activateTimeout)
	defer cancel()
	start := time.Now()
	o.agent.versions.beginSwap()
	status, err := o.agent.engine.activate(ctx, o.newOrder(w, w.ActivateVersion))
	if err == nil && status.ActiveVersion != w.ActivateVersion {
		err = fmt.Errorf("engine reports version %d after the activation of %d", status.ActiveVersion, w.ActivateVersion)
	}
	o.agent.versions.finishSwap(status, err)
	if err != nil {
		return &swapError{err}
	}
	o.recordDone("activate", w, w.ActivateVersion, start)
	o.agent.triggerHeartbeat()
	return nil
}

func (o *orderReconciler) recordDone(action string, w *rpc.WantedState, version int64, start time.Time) {
	o.agent.metrics.orders.Inc()
	o.agent.logger.Info().Str("order", action).Int64("term", w.Term).Int64("revision", w.Revision).
		Int64("version", version).Dur("duration_ms", time.Since(start)).Msg("order done")
}
