package usagestore

import (
	"time"

	"github.com/radishshelf/radishshelf/usage"
)

// Source hands out batches in order and learns which are durable. Next returns the same batch until Done.
type Source interface {
	Next(limit int) (usage.Batch, bool)
	Done(b usage.Batch)
}

// FromRecorder returns the source of an agent's own batches.
func FromRecorder(r *usage.Recorder) Source { return recorderSource{r} }

// FromRetainer returns the source of an entry's recovery batches.
func FromRetainer(r *usage.Retainer) Source { return retainerSource{r} }

type recorderSource struct{ recorder *usage.Recorder }

func (s recorderSource) Next(limit int) (usage.Batch, bool) { return s.recorder.NextBatch(limit) }

func (s recorderSource) Done(b usage.Batch) { s.recorder.Flushed(b.LastSeq()) }

type retainerSource struct{ retainer *usage.Retainer }

func (s retainerSource) Next(int) (usage.Batch, bool) { return s.retainer.NextRecovery() }

func (s retainerSource) Done(b usage.Batch) { s.retainer.Recovered(b) }

// FlusherOptions configures a Flusher.
type FlusherOptions struct {
	// Interval between flushes; DefaultFlushInterval when zero.
	Interval time.Duration
	// BatchRecords bounds the records of one row; DefaultBatchRecords when zero.
	BatchRecords int
}
