package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Timing of usage reports.
const (
	// sealDelay is the time from the end of a window until its counts are sealed; it covers a flush and a slow store.
	sealDelay = 2200 * time.Millisecond
	// reportInterval is the time between two searches for windows that are due.
	reportInterval = 400 * time.Millisecond
	// lookBackWindows is how many windows a new holder reports again in case its predecessor did not.
	lookBackWindows = 3
)

// usageReporter reports the usage windows that have ended.
type usageReporter struct {
	g  *Gateway
	mu sync.Mutex
	// busy is set while a run is in progress, and next is when the next one is due.
	busy bool
	next time.Time
	// lastWindow is the last window that was added to pending, 0 before the first. pending holds the windows that the
	// platform has not accepted yet, the oldest first.
	lastWindow int64
	pending    []int64
}

func newUsageReporter(g *Gateway) *usageReporter { return &usageReporter{g: g} }

// beginIfDue reports whether a run is due and, if so, marks it as started.
func (u *usageReporter) beginIfDue(now time.Time) bool {
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
	u.addWindows(last)
	for i := 0; i < len(u.pending); {
		switch err := u.report(ctx, u.pending[i]); {
		case err == nil:
			u.pending = slices.Delete(u.pending, i, i+1)
		case isRejection(err) && u.pending[i] < last-retainedWindows:
			u.g.opts.Log.Error().Int64("window", u.pending[i]).Err(err).Msg("usage window dropped: the platform keeps rejecting its report")
			u.pending = slices.Delete(u.pending, i, i+1)
		case isRejection(err):
			i++ // later windows may still be accepted
		default:
			return
		}
	}
}

// addWindows adds the windows up to last to pending.
func (u *usageReporter) addWindows(last int64) {
	if u.lastWindow == 0 {
		u.lastWindow = last - lookBackWindows
	}
	for u.lastWindow < last {
		u.lastWindow++
		u.pending = append(u.pending, u.lastWindow)
	}
}

// errNotHolder ends a run of a process that may not act for the duties now.
var errNotHolder = errors.New("this process does not hold the duties")

func (u *usageReporter) report(ctx context.Context, window int64) error {
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	counts, err := u.g.sealUsage(ctx, window)
	if err != nil {
		u.g.opts.Log.Warn().Int64("window", window).Err(err).Msg("cannot seal usage window; will retry")
		return err
	}
	term, ok := u.g.mayAct()
	if !ok {
		return errNotHolder
	}
	if err := u.g.opts.Duties.ReportUsage(ctx, u.g.opts.Host, term, window, counts); err != nil {
		u.g.opts.Log.Warn().Int64("window", window).Int64("term", term).Err(err).Msg("cannot report usage; will retry")
		return err
	}
	u.g.metrics.usageReports.Inc()
	u.g.opts.Log.Info().Int64("window", window).Int64("term", term).Interface("counts", counts).Msg("usage reported")
	return nil
}

// isRejection reports whether a call failed because of its content rather than in transit.
func isRejection(err error) bool {
	return hosting.IsKind(err, hosting.KindInvalid) || hosting.IsKind(err, hosting.KindConflict)
}
