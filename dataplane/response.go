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

// ErrTruncated means that a response ended without the agent's complete marker.
var ErrTruncated = errors.New("the response ended without the agent's complete marker; treat it as truncated")

const (
	// maxQuotedIDBytes bounds the part of a received request ID that is quoted in an error message.
	maxQuotedIDBytes = 64
	// maxRefusalBodyBytes is above the size of every refusal that an agent writes.
	maxRefusalBodyBytes = 4 << 10
	// refusalBodyTimeout is short, because the next attempt waits for the body.
	refusalBodyTimeout = 200 * time.Millisecond
)

// Remedies of refusals.
const (
	remedyRepeat      = "repeat the request"
	remedyCheckEffect = "check the effect before repeating the request"
)

// Response is the response to a call. Result is valid only after the body has been read to its end.
type Response struct {
	Status int
	Header http.Header
	resp   *http.Response
	ended  bool
	onEnd  func()
}

// Read reads the body. It returns ErrTruncated, never io.EOF, if the body ends without the complete marker.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		return n, errors.Join(ErrTruncated, err)
	}
	r.ended = true
	if r.trailer(TrailerComplete) != "true" {
		return n, ErrTruncated
	}
	if r.onEnd != nil {
		r.onEnd()
	}
	return n, io.EOF
}

// OnEnd sets a function that is called when the whole body has arrived, before Read returns io.EOF.
func (r *Response) OnEnd(f func()) { r.onEnd = f }

// trailer returns the value of a trailer. A response that cannot have a body has no trailers; the agent sends them as
// headers.
func (r *Response) trailer(name string) string {
	if r.Status == http.StatusNoContent || r.Status == http.StatusNotModified {
		return r.Header.Get(name)
	}
	return r.resp.Trailer.Get(name)
}

// Close closes the body. Closing it before its end cancels the request at the agent.
func (r *Response) Close() error { return r.resp.Body.Close() }

// Result returns the result that the agent reported at the end of the body, and whether it is valid. A truncated
// response may have a result too, because the agent counts the tokens that were generated.
func (r *Response) Result() (Result, bool) {
	var result Result
	if !r.ended {
		return result, false
	}
	raw := r.trailer(TrailerResult)
	if raw == "" || json.Unmarshal([]byte(raw), &result) != nil || !result.valid() {
		return Result{}, false
	}
	return result, true
}

// Load returns the load that the agent sent with the response, and whether it is valid.
func (r *Response) Load() (Load, bool) {
	var load Load
	raw := r.Header.Get(HeaderLoad)
	if raw == "" || json.Unmarshal([]byte(raw), &load) != nil || !load.Valid() {
		return Load{}, false
	}
	return load, true
}

// decodeRefusal returns the refusal that the agent sent. An unknown outcome is taken as MayHaveRun.
func decodeRefusal(call Call, resp *http.Response) *outcome.Refusal {
	parsed, err := outcome.Parse(resp.Header.Get(HeaderOutcome))
	text := readRefusalText(resp.Body)
	r := &outcome.Refusal{
		Kind: outcome.Kind(resp.Header.Get(HeaderRefusalKind)), Outcome: parsed, Status: resp.StatusCode,
		Message: "the agent at " + call.Address + " refused the request", Remedy: text.remedy(parsed), Err: err,
	}
	if text.Message != "" {
		r.Message += ": " + text.Message
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		r.RetryAfter = time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
	}
	return r
}

// refusalText is the part of the body of a refusal that is meant for people.
type refusalText struct {
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// readRefusalText reads the body of a refusal. The text is empty if the agent sent none, or not in time.
func readRefusalText(body io.ReadCloser) refusalText {
	stop := time.AfterFunc(refusalBodyTimeout, func() { _ = body.Close() })
	defer stop.Stop()
	data, err := io.ReadAll(io.LimitReader(body, maxRefusalBodyBytes))
	var text refusalText
	if err != nil || json.Unmarshal(data, &text) != nil {
		return refusalText{}
	}
	return text
}

// remedy returns the agent's remedy. It never invites callers to repeat a request that may have run.
func (t refusalText) remedy(o outcome.Outcome) string {
	switch {
	case o != outcome.NotRun:
		return remedyCheckEffect
	case t.Remedy != "":
		return t.Remedy
	default:
		return remedyRepeat
	}
}

func quoteID(id string) string {
	if len(id) > maxQuotedIDBytes {
		id = id[:maxQuotedIDBytes]
	}
	return strconv.Quote(id)
}
