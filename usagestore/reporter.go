package usagestore

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
)

const (
	// DefaultReportInterval is how often the holder looks for windows to finish.
	DefaultReportInterval = 5 * time.Second
	// DefaultGrace after the end of a window lets three flush intervals pass before it is closed.
	DefaultGrace = time.Minute
	// DefaultDedupRetention is how long the counted sequence numbers of a silent incarnation are remembered.
	DefaultDedupRetention = 48 * time.Hour
	// maxWindowsPerStep bounds the reads of one step after an outage.
	maxWindowsPerStep = 64
)

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	Table hosting.Table
	Sink  hosting.UsageSink
	// Authority of role usage.
	Authority Authority
	// Window is asked at each step, since operators may change its length.
	Window func() usage.Window
	// Interval, Grace and Retention have defaults when zero.
	Interval       time.Duration
	Grace          time.Duration
	DedupRetention time.Duration
	// Now is the clock; time.Now when nil.
	Now      func() time.Time
	Log      zerolog.Logger
	Registry *telemetry.Registry
}

// Reporter closes, seals and reports windows while this process holds role usage. It keeps nothing in memory, so that
// a new holder continues from the rows it finds.
type Reporter struct {
	opts    ReporterOptions
	metrics reporterMetrics
}

// NewReporter returns a Reporter.
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
	return &Reporter{opts: opts, metrics: newReporterMetrics(opts.Registry)}
}

// Run works at every interval until ctx ends.
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
			r.opts.Log.Warn().Err(err).Msg("usage window not finished")
		}
	}
}

// Step closes and seals the windows that are due, then reports what is sealed. The two are separate passes because an
// outage of the sink must not delay the seals.
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

// pendingWindows returns the pendingWindows that still have batch rows, oldest first, by skipping from window to window.
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
			r.opts.Log.Error().Err(err).Str("row", rows[0].Key).Msg("usage row ignored")
		} else {
			starts = append(starts, start)
		}
		after = batchPrefix + name + "/" + maxKeySuffix
	}
	return starts, nil
}
