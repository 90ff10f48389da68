package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// asyncBufferLines is how many lines wait for the output; at 200 bytes each they take less than 1 MB.
const asyncBufferLines = 4096

// AsyncWriter writes lines from a goroutine of its own, so that a slow output never holds up a request. Lines that find
// the buffer full are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewAsyncWriter starts to write to out. Close ends it.
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

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and returns. Nothing may be written afterwards.
func (w *AsyncWriter) Close() {
	close(w.lines)
	w.done.Wait()
}

// maxBatchBytes is the size of one write to the output.
const maxBatchBytes = 32 << 10

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
			w.dropped.Add(1) // the output is gone; there is nowhere to say so
		}
	}
}
