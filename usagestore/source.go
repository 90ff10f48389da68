package usagestore

import (
	"time"

	"github.com/radishshelf/radishshelf/usage"
)

// Source provides batches in order. Next returns the same batch until Ack reports it as durable.
type Source interface {
	Next(limit int) (usage.Batch, bool)
	Ack(b usage.Batch)
}

// NewRecorderSource returns the source of an agent's own batches.
func NewRecorderSource(r *usage.Recorder) Source { return recorderSource{r} }

// NewRetainerSource returns the source of an entry's recovery batches.
func NewRetainerSource(r *usage.Retainer) Source { return retainerSource{r} }

type recorderSource struct{ recorder *usage.Recorder }

func (s recorderSource) Next(limit int) (usage.Batch, bool) { return s.recorder.NextBatch(limit) }

func (s recorderSource) Ack(b usage.Batch) { s.recorder.MarkFlushed(b.LastSeq()) }

type retainerSource struct{ retainer *usage.Retainer }

func (s retainerSource) Next(int) (usage.Batch, bool) { return s.retainer.NextRecoveryBatch() }

func (s retainerSource) Ack(b usage.Batch) { s.retainer.MarkRecovered(b) }

// FlusherOptions configures a Flusher.
type FlusherOptions struct {
	// Interval is the time between flushes; DefaultFlushInterval if zero.
	Interval time.Duration
	// MaxBatchRecords bounds the records of one row; DefaultMaxBatchRecords if zero.
	MaxBatchRecords int
}
