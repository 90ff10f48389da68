package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// asyncBufferLines is the number of buffered lines; at 200 bytes each they take less than 1 MB.
const asyncBufferLines = 4096

// AsyncWriter writes lines in a separate goroutine, so that a slow output never delays a request. Lines are dropped and
// counted while the buffer is full.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewAsyncWriter returns an AsyncWriter that writes to out until Close is called.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncBufferLines)}
	w.done.Go(w.run)
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full, plus the number of failed writes to the
// output.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close waits until the buffered lines are written. Write must not be called afterwards.
func (w *AsyncWriter) Close() {
	close(w.lines)
	w.done.Wait()
}

// maxBatchBytes is the size at which no further lines are added to one write to the output.
const maxBatchBytes = 32 << 10

// run writes buffered lines in batches until lines is closed.
func (w *AsyncWriter) run() {
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxBatchBytes; {
			select {
			case next, ok := <-w.lines:
				if more = ok; ok {
					batch = append(batch, next...)
				}
			default:
				more = false
			}
		}
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(1) // the error cannot be logged, because the log output itself failed
		}
	}
}
