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
	// learnFrom entries must report the highest term after a start.
	learnFrom = 2
	// settleRounds is after how many heartbeat rounds fewer entries suffice.
	settleRounds    = 3
	activateTimeout = time.Minute
)

// errNotProbed puts an order off until a probe has named the version of the engine.
var errNotProbed = errors.New("the engine's version is not known yet")

// errSuperseded ends an order for which a newer one arrived.
var errSuperseded = errors.New("a newer order arrived")

// orders carries out the wanted state that entries report. It is level-triggered: the state is compared with that of the
// engine again and again, so a lost order or a failed swap is repaired by the next look.
type orders struct {
	agent *Agent

	mu     sync.Mutex
	gate   *fencing.Gate
	rounds int
	wanted *rpc.WantedState
	// wantedSince is when the mark of wanted was first seen.
	wantedSince time.Time
	// fallbackSpread is added to storeFallback for wanted.
	fallbackSpread time.Duration
	// refused is the mark refused last, so that a stale entry makes one log line and not one per second.
	refused fencing.Token
	// stop ends the staging of staging, for an order that no longer wants that version.
	stop    context.CancelFunc
	staging int64
	signal  chan struct{}
}

func newOrders(a *Agent) *orders {
	return &orders{agent: a, gate: fencing.NewGate(learnFrom), signal: make(chan struct{}, 1)}
}

func markOf(w *rpc.WantedState) fencing.Token {
	return fencing.Token{Term: w.GetTerm(), Revision: w.GetRevision()}
}

// offer takes the wanted state of one entry's reply; nil means that the entry wants nothing.
func (o *orders) offer(entry string, w *rpc.WantedState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// An entry without a wanted state may not have read the configuration yet, so its silence proves no term.
	if w == nil {
		return
	}
	if w.Policy != o.agent.settings.Serves {
		o.refuse(entry, w, fmt.Errorf("policy %q is not served here", w.Policy))
		return
	}
	o.gate.Learn(entry, markOf(w))
	err := o.gate.Accept(markOf(w))
	var stale *fencing.StaleError
	if errors.As(err, &stale) {
		o.refuse(entry, w, err)
	}
	if err != nil {
		return
	}
	o.replace(w)
}

func (o *orders) refuse(entry string, w *rpc.WantedState, err error) {
	o.agent.metrics.ordersRefused.Inc()
	if o.refused == markOf(w) {
		return
	}
	o.refused = markOf(w)
	o.agent.logger.Warn().Str("entry", entry).Int64("term", w.Term).Int64("revision", w.Revision).Err(err).
		Msg("order refused")
}

func (o *orders) replace(w *rpc.WantedState) {
	if o.wanted != nil && markOf(o.wanted) == markOf(w) {
		o.updateSources(w)
		return
	}
	o.wanted, o.wantedSince = w, time.Now()
	o.fallbackSpread = rand.N(storeFallbackSpread)
	if o.stop != nil && o.staging != w.StageVersion && o.staging != w.ActivateVersion {
		o.stop()
	}
	o.agent.logger.Info().Int64("term", w.Term).Int64("revision", w.Revision).Int64("stage", w.StageVersion).
		Int64("activate", w.ActivateVersion).Msg("order accepted")
	o.wake()
}

func (o *orders) wake() {
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// roundEnds counts a heartbeat round in which an entry reported a term. After a few, the ones that did must do.
func (o *orders) roundEnds(answered int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gate.Ready() || answered == 0 || o.gate.ReportedSources() == 0 {
		return
	}
	o.rounds++
	if o.rounds >= settleRounds {
		o.gate.ForceReady()
	}
}

func (o *orders) highestTerm() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gate.Highest().Term
}

// run carries out orders until ctx ends.
func (o *orders) run(ctx context.Context) {
	var pace orderPace
	for {
		if pace.swapFailures > 0 {
			// The probe names the version that the swap left, without which it is not repeated.
			_ = o.agent.probe(ctx)
		}
		mark := o.mark()
		err := o.reconcile(ctx)
		pause := pace.after(mark, err, rand.Float64())
		if err != nil && !errors.Is(err, errSuperseded) && !errors.Is(err, errNotProbed) {
			o.agent.metrics.ordersFailed.Inc()
			o.agent.logger.Warn().Err(err).Dur("retry_ms", pause).Msg("order failed")
		}
		if !o.wait(ctx, pause, pace) {
			return
		}
	}
}

// wait returns after the pause or with a signal, and false when ctx ends. A new source does not end the pause of a swap
// that failed; a newer order does.
func (o *orders) wait(ctx context.Context, pause time.Duration, pace orderPace) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-o.signal:
			if pace.swapFailures == 0 || o.mark() != pace.mark {
				return true
			}
		}
	}
}

func (o *orders) mark() fencing.Token {
	o.mu.Lock()
	defer o.mu.Unlock()
	return markOf(o.wanted)
}

// reconcile compares the wanted state with the engine and closes the difference.
func (o *orders) reconcile(ctx context.Context) error {
	w := o.latest()
	if w == nil {
		return nil
	}
	if !o.agent.versions.isProbed() {
		return errNotProbed
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

func (o *orders) ensureStaged(ctx context.Context, w *rpc.WantedState, version int64) error {
	status, _ := o.agent.versions.current()
	if version == 0 || version == status.ActiveVersion || slices.Contains(status.StagedVersions, version) {
		return nil
	}
	if !o.mayStage(w, version) {
		return nil
	}
	if err := o.stage(ctx, w, version); err != nil {
		return o.superseded(w, err)
	}
	return nil
}

func (o *orders) latest() *rpc.WantedState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.wanted
}

// stoppable returns a context that a newer order ends if it does not want the version.
func (o *orders) stoppable(ctx context.Context, version int64) (context.Context, context.CancelFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ctx, o.stop = context.WithCancel(ctx)
	o.staging = version
	return ctx, o.stop
}

// superseded replaces the error of an order that a newer one cut short.
func (o *orders) superseded(w *rpc.WantedState, err error) error {
	if o.isCurrent(w) {
		return err
	}
	return errSuperseded
}

func (o *orders) isCurrent(w *rpc.WantedState) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return markOf(o.wanted) == markOf(w) && !markOf(w).Less(o.gate.Highest())
}

func (o *orders) stage(ctx context.Context, w *rpc.WantedState, version int64) error {
	start := time.Now()
	ctx, cancel := o.stoppable(ctx, version)
	defer cancel()
	status, err := o.agent.engine.stage(ctx, o.order(w, version))
	if err != nil {
		return err
	}
	o.agent.versions.staged(status)
	o.done("stage", w, version, start)
	return nil
}

// activate swaps the weights. The swap is not cancelled by a newer order, since that would leave the version unknown.
func (o *orders) activate(ctx context.Context, w *rpc.WantedState) error {
	if !o.isCurrent(w) {
		return errSuperseded
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), activateTimeout)
	defer cancel()
	start := time.Now()
	o.agent.versions.swapBegins()
	status, err := o.agent.engine.activate(ctx, o.order(w, w.ActivateVersion))
	if err == nil && status.ActiveVersion != w.ActivateVersion {
		err = fmt.Errorf("engine reports version %d after the activation of %d", status.ActiveVersion, w.ActivateVersion)
	}
	o.agent.versions.swapEnds(status, err)
	if err != nil {
		return &swapError{err}
	}
	o.done("activate", w, w.ActivateVersion, start)
	o.agent.heartbeatSoon()
	return nil
}

func (o *orders) done(what string, w *rpc.WantedState, version int64, start time.Time) {
	o.agent.metrics.orders.Inc()
	o.agent.logger.Info().Str("order", what).Int64("term", w.Term).Int64("revision", w.Revision).
		Int64("version", version).Dur("duration_ms", time.Since(start)).Msg("order done")
}
