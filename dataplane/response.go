package dataplane

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// ErrTruncated means that an answer ended without the agent's complete marker.
var ErrTruncated = errors.New("the answer ended without the complete marker of the agent; treat it as truncated")

// maxQuotedIDBytes bounds a foreign request id in an error message.
const maxQuotedIDBytes = 64

// Response is the answer of an upstream, whose body is read to its end before Result is valid.
type Response struct {
	Status int
	Header http.Header
	resp   *http.Response
	ended  bool
	onEnd  func()
}

// Read returns the body. The end of a body without the complete marker is ErrTruncated, never io.EOF.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		return n, errors.Join(ErrTruncated, err)
	}
	a.ended = true
	if a.trailer(TrailerComplete) != "true" {
		return n, ErrTruncated
	}
	if a.onEnd != nil {
		a.onEnd()
	}
	return n, io.EOF
}

// OnEnd sets a function that is called when the whole body has arrived, before Read returns io.EOF.
func (a *Response) OnEnd(f func()) { a.onEnd = f }

// trailer returns a trailer. An answer that cannot have a body has no trailers either; the agent sends them as headers.
func (a *Response) trailer(name string) string {
	if a.Status == http.StatusNoContent || a.Status == http.StatusNotModified {
		return a.Header.Get(name)
	}
	return a.resp.Trailer.Get(name)
}

// Close releases the connection. An answer closed before its end cancels the request at the agent.
func (a *Response) Close() error { return a.resp.Body.Close() }

// Result returns what the agent reported at the end of the body, and whether it reported anything. A truncated answer
// may have a result too, because the agent counts what was generated.
func (a *Response) Result() (Result, bool) {
	var result Result
	if !a.ended {
		return result, false
	}
	raw := a.trailer(TrailerResult)
	if raw == "" || json.Unmarshal([]byte(raw), &result) != nil || !result.valid() {
		return Result{}, false
	}
	return result, true
}

// Load returns the load that the agent sent with the answer, and whether it sent one.
func (a *Response) Load() (Load, bool) {
	var load Load
	raw := a.Header.Get(HeaderLoad)
	if raw == "" || json.Unmarshal([]byte(raw), &load) != nil || !load.Valid() {
		return Load{}, false
	}
	return load, true
}

// decodeRefusal builds the refusal that the agent sent. An outcome that cannot be read is MayHaveRun.
func decodeRefusal(call Call, resp *http.Response) *outcome.Refusal {
	what, err := outcome.Parse(resp.Header.Get(HeaderOutcome))
	r := &outcome.Refusal{
		Kind: outcome.Kind(resp.Header.Get(HeaderRefusalKind)), Outcome: what, Status: resp.StatusCode,
		Message: "the agent at " + call.Address + " refused the request", Remedy: "repeat the request", Err: err,
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		r.RetryAfter = time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
	}
	return r
}

func quoteID(id string) string {
	if len(id) > maxQuotedIDBytes {
		id = id[:maxQuotedIDBytes]
	}
	return strconv.Quote(id)
}
