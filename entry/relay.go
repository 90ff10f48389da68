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

// responseRelay passes an answer to a caller. Streams are passed on chunk by chunk; other answers are held back up to a limit,
// so that an answer that ends early can still be repeated or refused.
type responseRelay struct {
	w            http.ResponseWriter
	limit        int
	stallTimeout time.Duration
	// onFirstByte is called once, when the first byte arrives from the agent.
	onFirstByte func()
	// onComplete is called with a whole answer that was held back, before it is sent.
	onComplete func(status int, header http.Header, body []byte)
	// tee receives a copy of every chunk; nil when nothing needs it.
	tee io.Writer

	firstByteSeen bool
	started       bool
	status        int
	sentBytes     int64
}

func (r *responseRelay) bytesPassedOn() int64 {
	if r.started {
		// Status and headers count as passed on even before the first byte of the body.
		return max(r.sentBytes, 1)
	}
	return 0
}

// receive implements receiver.
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

// handleChunk holds a chunk back or passes it on.
func (r *responseRelay) handleChunk(buffered *bytes.Buffer, streamed bool, status int, header http.Header, chunk []byte) error {
	if r.tee != nil {
		// The copy is bounded by its writer, which drops what it cannot hold.
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

func (r *responseRelay) sendHeader(status int, header http.Header) {
	r.started = true
	r.status = status
	for name, values := range header {
		r.w.Header()[name] = values
	}
	r.w.WriteHeader(status)
}

// sendBuffered sends an answer that was held back whole.
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

// write sends bytes under a deadline, so that a caller that stops reading does not hold its upstream for ever.
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
