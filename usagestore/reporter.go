package usagestore

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/rowskip"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
)

const (
	// DefaultReportInterval is the time between two checks for windows to close, seal or report.
	DefaultReportInterval = 5 * time.Second
	// DefaultGrace is the time between the end of a window and its closing. It covers three flush intervals.
	DefaultGrace = time.Minute
	// DefaultDedupRetention is how long the counted sequence numbers of an incarnation without new batches are kept.
	DefaultDedupRetention = 48 * time.Hour
	// maxWindowsPerStep bounds the reads of one step after an outage.
	maxWindowsPerStep = 64
)

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	Table     hosting.Table
	Sink      hosting.UsageSink
	Authority Authority
	// Window is called at each step, since operators may change the length of the windows.
	Window func() usage.Window
	// Interval, Grace and DedupRetention have defaults if zero.
	Interval       time.Duration
	Grace          time.Duration
	DedupRetention time.Duration
	// Now is the clock; time.Now if nil.
	Now      func() time.Time
	Log      zerolog.Logger
	Registry *telemetry.Registry
}

// Reporter closes, seals and reports windows while this process holds role usage. It keeps no state in memory except
// which rows it has logged, so that a new holder continues from the rows in the table.
type Reporter struct {
	opts    ReporterOptions
	metrics reporterMetrics
	skipped *rowskip.Skipper
}

// NewReporter returns a Reporter and applies the defaults of opts.
func NewReporter(opts ReporterOptions) *Reporter {
	if opts.Interval <= 0 {
		opts.Interval = DefaultReportInterval
	}
	if opts.Grace <= 0 {
		opts.Grace = DefaultGrace
	}
	if opts.DedupRetention <= 0 {
		opts.DedupRetention = DefaultDedupRetention
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	m := newReporterMetrics(opts.Registry)
	return &Reporter{opts: opts, metrics: m, skipped: rowskip.New(opts.Log, m.skipped)}
}

// Run calls Step at each interval until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(r.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		err := r.Step(ctx)
		if err != nil && ctx.Err() == nil && !errors.Is(err, ErrNotHolder) {
			r.metrics.failed.Inc()
			r.opts.Log.Warn().Err(err).Msg("usage windows not processed; will retry at the next interval")
		}
	}
}

// Step closes and seals the windows that are due and then reports them. These are separate passes, so that an outage of
// the sink does not delay sealing. Step returns ErrNotHolder if this process does not hold role usage.
func (r *Reporter) Step(ctx context.Context) error {
	if !r.holdsRole() {
		return ErrNotHolder
	}
	starts, err := r.pendingWindows(ctx)
	if err != nil {
		return err
	}
	due := make([]usage.SealedWindow, 0, len(starts))
	for _, start := range starts {
		if r.opts.Now().Before(r.opts.Window().End(start).Add(r.opts.Grace)) {
			break
		}
		sealed, err := r.closeAndSeal(ctx, start)
		if err != nil {
			return err
		}
		due = append(due, sealed)
	}
	var conflict error
	for _, sealed := range due {
		err := r.reportAndDelete(ctx, sealed)
		if hosting.IsKind(err, hosting.KindConflict) {
			conflict = err
			continue
		}
		if err != nil {
			return err
		}
	}
	return conflict
}

func (r *Reporter) closeAndSeal(ctx context.Context, start time.Time) (usage.SealedWindow, error) {
	if err := r.CloseWindow(ctx, start); err != nil {
		return usage.SealedWindow{}, err
	}
	return r.SealWindow(ctx, start)
}

func (r *Reporter) reportAndDelete(ctx context.Context, sealed usage.SealedWindow) error {
	if err := r.ReportWindow(ctx, sealed); err != nil {
		return err
	}
	return r.deleteBatches(ctx, sealed.Window)
}

func (r *Reporter) holdsRole() bool {
	_, ok := r.opts.Authority.MayAct(r.opts.Now())
	return ok
}

// pendingWindows returns the starts of the windows that still have batch rows, oldest first. It reads one row per
// window and skips the rest.
func (r *Reporter) pendingWindows(ctx context.Context) ([]time.Time, error) {
	var starts []time.Time
	after := ""
	for range maxWindowsPerStep {
		rows, err := r.opts.Table.Scan(ctx, batchPrefix, after, 1)
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			break
		}
		name := windowOfBatch(rows[0].Key)
		start, err := usage.ParseWindowKey(name)
		if err != nil {
			r.opts.Log.Error().Err(err).Str("row", rows[0].Key).Msg("usage row ignored: its key has no valid window")
		} else {
			starts = append(starts, start)
		}
		after = batchPrefix + name + "/" + maxKeySuffix
	}
	return starts, nil
}
