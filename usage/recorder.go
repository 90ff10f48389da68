package usage

import (
	"slices"
	"sync"
)

// Recorder numbers the records of one agent incarnation and returns them in contiguous batches. It is safe for
// concurrent use.
//
// Invariant: NextBatch returns the same batch until MarkFlushed covers it, so that a retried write has the same ID and
// content.
type Recorder struct {
	agent       string
	incarnation string

	mu         sync.Mutex
	window     Window
	pending    []Record
	lastSeq    int64
	flushedSeq int64
	// outstanding is the number of pending records in the batch that NextBatch returned last.
	outstanding int
}

// NewRecorder returns the recorder of one agent process. The incarnation must be unique across restarts of the agent.
func NewRecorder(agent, incarnation string) *Recorder {
	return &Recorder{agent: agent, incarnation: incarnation}
}

// SetWindow sets the reporting windows. Batches formed from then on do not span two windows.
func (r *Recorder) SetWindow(w Window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window = Window{Length: w.length()}
}

// Window returns the reporting windows. Its Length is 0, which means DefaultWindowLength, until SetWindow is called.
func (r *Recorder) Window() Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window
}

// Add appends the record of a finished request and returns its sequence number. It ignores rec.Seq.
func (r *Recorder) Add(rec Record) (seq int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSeq++
	rec.Seq = r.lastSeq
	r.pending = append(r.pending, rec)
	return rec.Seq
}

// NextBatch returns up to limit of the oldest unflushed records. It returns the same batch until that is flushed.
func (r *Recorder) NextBatch(limit int) (Batch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) == 0 || limit <= 0 {
		return Batch{}, false
	}
	if r.outstanding == 0 {
		r.outstanding = r.nextBatchSize(limit)
	}
	records := slices.Clone(r.pending[:r.outstanding])
	return Batch{Agent: r.agent, Incarnation: r.incarnation, Number: records[0].Seq, Records: records}, true
}

// nextBatchSize returns the number of pending records that form the next batch. The caller holds mu.
func (r *Recorder) nextBatchSize(limit int) int {
	n := min(limit, len(r.pending))
	if r.window.Length <= 0 {
		return n
	}
	first := r.window.Start(r.pending[0].FinishedAt)
	for i := 1; i < n; i++ {
		if !r.window.Start(r.pending[i].FinishedAt).Equal(first) {
			return i
		}
	}
	return n
}

// MarkFlushed records that all records up to throughSeq are durable. Lower or repeated values are ignored.
func (r *Recorder) MarkFlushed(throughSeq int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	throughSeq = min(throughSeq, r.lastSeq)
	if throughSeq <= r.flushedSeq {
		return
	}
	n := int(throughSeq - r.flushedSeq)
	r.pending = slices.Delete(r.pending, 0, n)
	r.outstanding = max(0, r.outstanding-n)
	r.flushedSeq = throughSeq
}

// FlushedSeq returns the highest sequence number up to which all records are durable.
func (r *Recorder) FlushedSeq() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flushedSeq
}

// Pending returns the number of records that are not durable yet.
func (r *Recorder) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}
