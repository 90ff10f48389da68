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

// relayChunk is the buffer size for reads from an agent, in bytes.
const relayChunk = 16 << 10

// responseRelay forwards a response to a caller. Event streams are forwarded chunk by chunk. Other responses are buffered
// up to a limit, so that a response that ends early can still be retried or refused.
type responseRelay struct {
	w            http.ResponseWriter
	limit        int
	stallTimeout time.Duration
	// onFirstByte is called once, when the first byte arrives from the agent.
	onFirstByte func()
	// onComplete is called with a complete buffered response before it is sent.
	onComplete func(status int, header http.Header, body []byte)
	// tee receives a copy of every chunk; it may be nil.
	tee io.Writer

	firstByteSeen bool
	started       bool
	status        int
	sentBytes     int64
}

func (r *responseRelay) bytesPassedOn() int64 {
	if r.started {
		// Status and headers have been sent, even if no byte of the body has.
		return max(r.sentBytes, 1)
	}
	return 0
}

// receive implements responseReceiver.
func (r *responseRelay) receive(response *dataplane.Response) error {
	header := copyHeaders(response.Header, returnedHeaders)
	header.Set(dataplane.HeaderOutcome, outcome.Ran.String())
	buffered := &bytes.Buffer{}
	streamed := isEventStream(response.Header)
	if resetter, ok := r.tee.(interface{ Reset() }); ok {
		resetter.Reset()
	}
	chunk := make([]byte, relayChunk)
	for {
		n, err := response.Read(chunk)
		if n > 0 {
			r.recordArrival()
			if writeErr := r.handleChunk(buffered, streamed, response.Status, header, chunk[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return r.sendBuffered(buffered, response.Status, header)
		}
		if err != nil {
			return err
		}
	}
}

func (r *responseRelay) recordArrival() {
	if !r.firstByteSeen && r.onFirstByte != nil {
		r.onFirstByte()
	}
	r.firstByteSeen = true
}

// handleChunk buffers a chunk or forwards it.
func (r *responseRelay) handleChunk(buffered *bytes.Buffer, streamed bool, status int, header http.Header, chunk []byte) error {
	if r.tee != nil {
		// The writer limits its own size and drops what exceeds it.
		_, _ = r.tee.Write(chunk)
	}
	if !r.started && !streamed && buffered.Len()+len(chunk) <= r.limit {
		buffered.Write(chunk)
		return nil
	}
	if !r.started {
		r.sendHeader(status, header)
		if err := r.write(buffered.Bytes()); err != nil {
			return err
		}
		buffered.Reset()
	}
	return r.write(chunk)
}

// sendHeader sends the status and headers; after it the response can no longer be retried.
func (r *responseRelay) sendHeader(status int, header http.Header) {
	r.started = true
	r.status = status
	for name, values := range header {
		r.w.Header()[name] = values
	}
	r.w.WriteHeader(status)
}

// sendBuffered sends a response that was buffered completely.
func (r *responseRelay) sendBuffered(buffered *bytes.Buffer, status int, header http.Header) error {
	if r.started {
		return nil
	}
	if r.onComplete != nil {
		r.onComplete(status, header, buffered.Bytes())
	}
	if buffered.Len() > 0 {
		header.Set("Content-Length", strconv.Itoa(buffered.Len()))
	}
	r.sendHeader(status, header)
	return r.write(buffered.Bytes())
}

// write sends bytes with a deadline, so that a caller that stops reading does not occupy its upstream forever.
func (r *responseRelay) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	control := http.NewResponseController(r.w)
	if err := control.SetWriteDeadline(time.Now().Add(r.stallTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	n, err := r.w.Write(p)
	r.sentBytes += int64(n)
	if err != nil {
		return err
	}
	if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}
