package gateway

import (
	"context"
	"sync"
	"time"
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
	// done is the last window that was reported, 0 before the first.
	done int64
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
	if u.done == 0 {
		u.done = last - lookBack
	}
	for u.done < last {
		if !u.report(ctx, u.done+1) {
			return
		}
		u.done++
	}
}

func (u *usageReporter) report(ctx context.Context, window int64) bool {
	ctx, cancel := context.WithTimeout(ctx, maxDutyCall)
	defer cancel()
	counts, err := u.g.sealUsage(ctx, window)
	if err != nil {
		u.g.opts.Log.Warn().Int64("window", window).Err(err).Msg("usage window not sealed yet")
		return false
	}
	term, ok := u.g.mayAct()
	if !ok {
		return false
	}
	if err := u.g.opts.Duties.ReportUsage(ctx, u.g.opts.Host, term, window, counts); err != nil {
		u.g.opts.Log.Warn().Int64("window", window).Int64("term", term).Err(err).Msg("usage not reported yet")
		return false
	}
	u.g.met.usageReports.Inc()
	u.g.opts.Log.Info().Int64("window", window).Int64("term", term).Interface("counts", counts).Msg("usage reported")
	return true
}
