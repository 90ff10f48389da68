package usagestore

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/telemetry"
)

const (
	// DefaultFlushInterval causes 34 writes per second with 680 agents, a twelfth of the table's write budget.
	DefaultFlushInterval = 20 * time.Second
	// DefaultMaxBatchRecords keeps a batch row below about 100 KB.
	DefaultMaxBatchRecords = 500
	// maxBatchesPerFlush bounds the writes of one agent after an outage, when all agents catch up at the same time.
	maxBatchesPerFlush = 20
)

// Flusher writes the batches of a Source to the table: an agent's records or an entry's recovery batches.
type Flusher struct {
	writer  *Writer
	source  Source
	opts    FlusherOptions
	log     zerolog.Logger
	flushed *metrics.Counter
	failed  *metrics.Counter
}

// NewFlusher returns a Flusher. The name, for example "agent" or "recovery", labels its metrics and log lines.
func NewFlusher(
	name string, writer *Writer, source Source, opts FlusherOptions, log zerolog.Logger, registry *telemetry.Registry,
) *Flusher {
	if opts.Interval <= 0 {
		opts.Interval = DefaultFlushInterval
	}
	if opts.MaxBatchRecords <= 0 {
		opts.MaxBatchRecords = DefaultMaxBatchRecords
	}
	label := `{source="` + name + `"}`
	return &Flusher{
		writer: writer, source: source, opts: opts, log: log.With().Str("source", name).Logger(),
		flushed: registry.GetOrCreateCounter("radishshelf_usage_records_flushed_total" + label),
		failed:  registry.GetOrCreateCounter("radishshelf_usage_flush_errors_total" + label),
	}
}

// Run flushes at each interval until ctx ends. On graceful shutdown the caller calls Flush once more.
func (f *Flusher) Run(ctx context.Context) {
	ticker := time.NewTicker(f.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := f.Flush(ctx); err != nil && ctx.Err() == nil {
			f.log.Warn().Err(err).Msg("usage flush failed; keeping the records in memory")
		}
	}
}

// Flush writes the pending batches, oldest first, and stops at the first error or after maxBatchesPerFlush batches.
func (f *Flusher) Flush(ctx context.Context) error {
	for range maxBatchesPerFlush {
		batch, ok := f.source.Next(f.opts.MaxBatchRecords)
		if !ok {
			return nil
		}
		if err := f.writer.Write(ctx, batch); err != nil {
			f.failed.Inc()
			return err
		}
		f.source.Ack(batch)
		f.flushed.Add(len(batch.Records))
	}
	return nil
}
