package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Times of usage reports.
const (
	// sealDelay is the time after the end of a window at which its counts are taken: a flush and a slow store.
	sealDelay = 2200 * time.Millisecond
	// reportInterval is how often windows that are due are looked for.
	reportInterval = 400 * time.Millisecond
	// lookBack is how many windows a new holder reports again in case its predecessor did not.
	lookBack = 3
)

// usageReporter reports the windows that have ended.
type usageReporter struct {
	g  *Gateway
	mu sync.Mutex
	// busy tells that a run is on its way, and next when the next one is due.
	busy bool
	next time.Time
	// seen is the last window that was looked at, 0 before the first, and pending the windows up to it that the platform has not
	// taken yet, the oldest first.
	seen    int64
	pending []int64
}

func newUsageReporter(g *Gateway) *usageReporter { return &usageReporter{g: g} }

// begin reports whether a run is due, and marks it as begun.
func (u *usageReporter) begin(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.busy || now.Before(u.next) {
		return false
	}
	u.busy, u.next = true, now.Add(reportInterval)
	return true
}

// run reports the windows that are due, the oldest first.
func (u *usageReporter) run(ctx context.Context) {
	defer func() {
		u.mu.Lock()
		u.busy = false
		u.mu.Unlock()
	}()
	u.g.mu.Lock()
	last := u.g.windowOf(u.g.timeOfDay().Add(-sealDelay)) - 1
	u.g.mu.Unlock()
	u.take(last)
	for i := 0; i < len(u.pending); {
		switch err := u.report(ctx, u.pending[i]); {
		case err == nil:
			u.pending = slices.Delete(u.pending, i, i+1)
		case isRejection(err) && u.pending[i] < last-keptWindows:
			u.g.opts.Log.Error().Int64("window", u.pending[i]).Err(err).Msg("usage window given up")
			u.pending = slices.Delete(u.pending, i, i+1)
		case isRejection(err):
			i++ // the windows after it may still be taken
		default:
			return
		}
	}
}

// take adds the windows up to last.
func (u *usageReporter) take(last int64) {
	if u.seen == 0 {
		u.seen = last - lookBack
	}
	for u.seen < last {
		u.seen++
		u.pending = append(u.pending, u.seen)
	}
}

// errNotHolder ends a run of a process that must not act for the duties now.
var errNotHolder = errors.New("the duties are not held")

func (u *usageReporter) report(ctx context.Context, window int64) error {
	ctx, cancel := context.WithTimeout(ctx, maxDutyCall)
	defer cancel()
	counts, err := u.g.sealUsage(ctx, window)
	if err != nil {
		u.g.opts.Log.Warn().Int64("window", window).Err(err).Msg("usage window not sealed yet")
		return err
	}
	term, ok := u.g.mayAct()
	if !ok {
		return errNotHolder
	}
	if err := u.g.opts.Duties.ReportUsage(ctx, u.g.opts.Host, term, window, counts); err != nil {
		u.g.opts.Log.Warn().Int64("window", window).Int64("term", term).Err(err).Msg("usage not reported yet")
		return err
	}
	u.g.metrics.usageReports.Inc()
	u.g.opts.Log.Info().Int64("window", window).Int64("term", term).Interface("counts", counts).Msg("usage reported")
	return nil
}

// isRejection reports whether a call failed for what it holds and not for the way there.
func isRejection(err error) bool {
	return hosting.IsKind(err, hosting.KindInvalid) || hosting.IsKind(err, hosting.KindConflict)
}
