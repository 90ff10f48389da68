package entry

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/outcome"
)

// relayChunk is the size of one read from an agent.
const relayChunk = 16 << 10

// relay passes an answer to a caller. Streams are passed on chunk by chunk; other answers are held back up to a limit,
// so that an answer that ends early can still be repeated or refused.
type relay struct {
	w     http.ResponseWriter
	limit int
	stall time.Duration
	// firstByte is called once, when the first byte arrives from the agent.
	firstByte func()
	// complete is called with a whole answer that was held back, before it is sent.
	complete func(status int, header http.Header, body []byte)
	// tee receives a copy of every chunk; nil when nothing needs it.
	tee io.Writer

	arrived bool
	started bool
	status  int
	sent    int64
}

func (r *relay) passedOn() int64 {
	if r.started {
		// Status and headers count as passed on even before the first byte of the body.
		return max(r.sent, 1)
	}
	return 0
}

// receive implements receiver.
func (r *relay) receive(answer *dataplane.Response) error {
	header := copyListed(answer.Header, returnedHeaders)
	header.Set(dataplane.HeaderOutcome, outcome.Ran.String())
	held := &bytes.Buffer{}
	streamed := isEventStream(answer.Header)
	if resetter, ok := r.tee.(interface{ Reset() }); ok {
		resetter.Reset()
	}
	chunk := make([]byte, relayChunk)
	for {
		n, err := answer.Read(chunk)
		if n > 0 {
			r.noteArrival()
			if writeErr := r.take(held, streamed, answer.Status, header, chunk[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return r.finish(held, answer.Status, header)
		}
		if err != nil {
			return err
		}
	}
}

func (r *relay) noteArrival() {
	if !r.arrived && r.firstByte != nil {
		r.firstByte()
	}
	r.arrived = true
}

// take holds a chunk back or passes it on.
func (r *relay) take(held *bytes.Buffer, streamed bool, status int, header http.Header, chunk []byte) error {
	if r.tee != nil {
		// The copy is bounded by its writer, which drops what it cannot hold.
		_, _ = r.tee.Write(chunk)
	}
	if !r.started && !streamed && held.Len()+len(chunk) <= r.limit {
		held.Write(chunk)
		return nil
	}
	if !r.started {
		r.start(status, header)
		if err := r.write(held.Bytes()); err != nil {
			return err
		}
		held.Reset()
	}
	return r.write(chunk)
}

func (r *relay) start(status int, header http.Header) {
	r.started = true
	r.status = status
	for name, values := range header {
		r.w.Header()[name] = values
	}
	r.w.WriteHeader(status)
}

// finish sends an answer that was held back whole.
func (r *relay) finish(held *bytes.Buffer, status int, header http.Header) error {
	if r.started {
		return nil
	}
	if r.complete != nil {
		r.complete(status, header, held.Bytes())
	}
	if held.Len() > 0 {
		header.Set("Content-Length", strconv.Itoa(held.Len()))
	}
	r.start(status, header)
	return r.write(held.Bytes())
}

// write sends bytes under a deadline, so that a caller that stops reading does not hold its upstream for ever.
func (r *relay) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	control := http.NewResponseController(r.w)
	if err := control.SetWriteDeadline(time.Now().Add(r.stall)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	n, err := r.w.Write(p)
	r.sent += int64(n)
	if err != nil {
		return err
	}
	if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

func isEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}
