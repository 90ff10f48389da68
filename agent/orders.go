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

// Limits on the processing of orders.
const (
	// minLearnEntries is how many entries must report a term after a start before orders are accepted.
	minLearnEntries = 2
	// maxLearnRounds is the number of heartbeat rounds after which fewer entries suffice.
	maxLearnRounds  = 3
	activateTimeout = time.Minute
)

// errVersionUnknown defers an order until a probe has returned the version of the engine.
var errVersionUnknown = errors.New("the engine's version is not known yet")

// errSuperseded means that a newer order replaced the one in progress.
var errSuperseded = errors.New("superseded by a newer order")

// orderReconciler brings the engine to the wanted state that entries report. It is level-triggered: it periodically
// compares the wanted state with that of the engine, so a lost order or a failed swap is corrected by the next
// comparison.
type orderReconciler struct {
	agent *Agent

	mu     sync.Mutex
	gate   *fencing.Gate
	rounds int
	wanted *rpc.WantedState
	// wantedSince is when an order with the token of wanted was first received.
	wantedSince time.Time
	// fallbackJitter is added to storeFallbackDelay for the current order.
	fallbackJitter time.Duration
	// lastRefused is the token of the last refused order. It limits a stale entry to one log line instead of one per
	// second.
	lastRefused fencing.Token
	// cancelStaging stops the staging of stagingVersion when a newer order no longer wants that version.
	cancelStaging  context.CancelFunc
	stagingVersion int64
	wakeCh         chan struct{}
}

func newOrderReconciler(a *Agent) *orderReconciler {
	return &orderReconciler{agent: a, gate: fencing.NewGate(minLearnEntries), wakeCh: make(chan struct{}, 1)}
}

func tokenOf(w *rpc.WantedState) fencing.Token {
	return fencing.Token{Term: w.GetTerm(), Revision: w.GetRevision()}
}

// receiveWanted handles the wanted state in an entry's reply; nil means that the entry sent none.
func (o *orderReconciler) receiveWanted(entry string, w *rpc.WantedState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// An entry that sends no wanted state may not have read the configuration yet, so this is not evidence of a term.
	if w == nil {
		return
	}
	if w.Policy != o.agent.settings.Serves {
		o.recordRefusal(entry, w, fmt.Errorf("policy %q is not served by this agent", w.Policy))
		return
	}
	o.gate.Learn(entry, tokenOf(w))
	err := o.gate.Accept(tokenOf(w))
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
	if o.lastRefused == tokenOf(w) {
		return
	}
	o.lastRefused = tokenOf(w)
	o.agent.logger.Warn().Str("entry", entry).Int64("term", w.Term).Int64("revision", w.Revision).Err(err).
		Msg("order refused")
}

func (o *orderReconciler) setWanted(w *rpc.WantedState) {
	if o.wanted != nil && tokenOf(o.wanted) == tokenOf(w) {
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

// finishRound counts a heartbeat round if any entry replied and a term is known. After maxLearnRounds, the entries that
// have reported a term suffice.
func (o *orderReconciler) finishRound(replies int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gate.Ready() || replies == 0 || o.gate.ReportedSources() == 0 {
		return
	}
	o.rounds++
	if o.rounds >= maxLearnRounds {
		o.gate.ForceReady()
	}
}

func (o *orderReconciler) highestTerm() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gate.Highest().Term
}

// run executes orders until ctx ends.
func (o *orderReconciler) run(ctx context.Context) {
	var backoff orderBackoff
	for {
		if backoff.swapFailures > 0 {
			// The swap is not retried before a probe has returned the version that it left.
			_ = o.agent.probe(ctx)
		}
		token := o.currentToken()
		err := o.reconcile(ctx)
		delay := backoff.nextDelay(token, err, rand.Float64())
		if err != nil && !errors.Is(err, errSuperseded) && !errors.Is(err, errVersionUnknown) {
			o.agent.metrics.ordersFailed.Inc()
			o.agent.logger.Warn().Err(err).Dur("retry_ms", delay).Msg("order failed")
		}
		if !o.wait(ctx, delay, backoff) {
			return
		}
	}
}

// wait returns true after the delay or when woken, and false when ctx ends. After a failed swap only a newer order ends
// the delay early; a new source does not.
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
			if backoff.swapFailures == 0 || o.currentToken() != backoff.token {
				return true
			}
		}
	}
}

func (o *orderReconciler) currentToken() fencing.Token {
	o.mu.Lock()
	defer o.mu.Unlock()
	return tokenOf(o.wanted)
}

// reconcile compares the wanted state with that of the engine and stages or activates versions as needed.
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
		// After a restart of the engine the version to serve is staged before the one to preload.
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

// stagingContext returns a context that is cancelled by a newer order that does not want the version.
func (o *orderReconciler) stagingContext(ctx context.Context, version int64) (context.Context, context.CancelFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ctx, o.cancelStaging = context.WithCancel(ctx)
	o.stagingVersion = version
	return ctx, o.cancelStaging
}

// checkSuperseded returns errSuperseded instead of err if a newer order has replaced w.
func (o *orderReconciler) checkSuperseded(w *rpc.WantedState, err error) error {
	if o.isCurrent(w) {
		return err
	}
	return errSuperseded
}

func (o *orderReconciler) isCurrent(w *rpc.WantedState) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return tokenOf(o.wanted) == tokenOf(w) && !tokenOf(w).Less(o.gate.Highest())
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

// activate swaps the weights. A newer order does not cancel the swap, because that would leave the version unknown.
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
