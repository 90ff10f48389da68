package gateway

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
)

// streamEvents is the number of events of a complete stream in these tests.
const streamEvents = 6

// writtenEvents returns what the caller reads of the events 1..n.
func writtenEvents(n int) string {
	var text strings.Builder
	for id := 1; id <= n; id++ {
		fmt.Fprintf(&text, "<%d>", id)
	}
	return text.String()
}

// rawStream returns a response with the given events. Unless whole is set, the connection breaks after them.
func rawStream(whole bool, ids ...int) *upstreamcall.Response {
	var lines strings.Builder
	for _, id := range ids {
		raw := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, "<%d>", id))
		fmt.Fprintf(&lines, `{"ID":%d,"Data":"event %d","Raw":%q}`+"\n", id, id, raw)
	}
	a := signed(http.StatusOK, "")
	a.Header.Set("Content-Type", "text/event-stream")
	a.Body = io.NopCloser(strings.NewReader(lines.String()))
	if !whole {
		a.Body = io.NopCloser(io.MultiReader(strings.NewReader(lines.String()), brokenReader{}))
	}
	return a
}

// errorResponse returns a signed response whose body is an error message.
func errorResponse(status int) *upstreamcall.Response {
	a := signed(status, "internal error\n")
	a.Header.Set("Content-Type", "text/plain")
	return a
}

// foreignResponses are responses of the next upstream that do not continue a stream after the event 2.
var foreignResponses = map[string]func() *upstreamcall.Response{
	"status 500":            func() *upstreamcall.Response { return errorResponse(http.StatusInternalServerError) },
	"status 502":            func() *upstreamcall.Response { return errorResponse(http.StatusBadGateway) },
	"status 503, maybe run": func() *upstreamcall.Response { return errorResponse(http.StatusServiceUnavailable) },
	"status 504":            func() *upstreamcall.Response { return errorResponse(http.StatusGatewayTimeout) },
	"status 404":            func() *upstreamcall.Response { return errorResponse(http.StatusNotFound) },
	"status 422":            func() *upstreamcall.Response { return errorResponse(http.StatusUnprocessableEntity) },
	"status 302":            func() *upstreamcall.Response { return errorResponse(http.StatusFound) },
	"status 201":            func() *upstreamcall.Response { return errorResponse(http.StatusCreated) },
	"status 204":            func() *upstreamcall.Response { return signed(http.StatusNoContent, "") },
	"another content type":  func() *upstreamcall.Response { return errorResponse(http.StatusOK) },
	"events with status 206": func() *upstreamcall.Response {
		a := rawStream(true, 3, 4)
		a.Status = http.StatusPartialContent
		return a
	},
	"unsigned events": func() *upstreamcall.Response { a := rawStream(true, 3, 4); a.Signed = false; return a },
	"compressed events": func() *upstreamcall.Response {
		a := rawStream(true, 3, 4)
		a.Header.Set("Content-Encoding", "gzip")
		return a
	},
	"missing event":        func() *upstreamcall.Response { return rawStream(true, 4, 5) },
	"event without an ID":  func() *upstreamcall.Response { return rawStream(true, -1) },
	"no events, broken":    func() *upstreamcall.Response { return rawStream(false) },
	"one event, broken":    func() *upstreamcall.Response { return rawStream(false, 3) },
	"one event, no length": func() *upstreamcall.Response { a := rawStream(true, 3); a.Framed = false; return a },
	"no events, no length": func() *upstreamcall.Response { a := rawStream(true); a.Framed = false; return a },
}

// readResumed reads a stream whose first run breaks off after event 2. next returns the response to each later run.
func readResumed(t *testing.T, next func(run int, after int) *upstreamcall.Response) (string, error) {
	t.Helper()
	w := newTestCluster(t)
	for i := range 4 {
		w.addUpstream(fmt.Sprint("engine-", i), engineService, 4, map[string]int64{testModel: 1})
	}
	g := w.start("a")
	var mu sync.Mutex
	runs := 0
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		mu.Lock()
		defer mu.Unlock()
		if runs++; runs == 1 {
			return rawStream(false, 1, 2), nil
		}
		return next(runs, r.ResumeAfter), nil
	})
	return readStream(w.requestWithBody(t.Context(), g, "/chat/1", "tell"))
}

// Guards against the response of the next upstream, such as the body of an error, in the stream of a caller, or as its
// end. Another upstream must continue the stream.
func TestStreamResumesPastForeignResponses(t *testing.T) {
	for name, foreign := range foreignResponses {
		t.Run(name, func(t *testing.T) {
			body, err := readResumed(t, func(run, after int) *upstreamcall.Response {
				if run == 2 {
					return foreign()
				}
				var rest []int
				for id := after + 1; id <= streamEvents; id++ {
					rest = append(rest, id)
				}
				return rawStream(true, rest...)
			})
			if err != nil || body != writtenEvents(streamEvents) {
				t.Errorf("read %q, %v", body, err)
			}
		})
	}
}

// Guards against a stream that ends as complete although no upstream continued it.
func TestStreamWithoutContinuationIsBrokenOff(t *testing.T) {
	for name, foreign := range foreignResponses {
		t.Run(name, func(t *testing.T) {
			body, err := readResumed(t, func(int, int) *upstreamcall.Response { return foreign() })
			if err == nil || !strings.HasPrefix(writtenEvents(streamEvents), body) || !strings.HasPrefix(body, writtenEvents(2)) {
				t.Errorf("read %q, %v; want the events so far and an error", body, err)
			}
		})
	}
}

// Guards against the events of another upstream behind the part of an error's body that has arrived.
func TestBrokenErrorBodyIsNotResumed(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 4, map[string]int64{testModel: 1})
	g := w.start("a")
	var mu sync.Mutex
	runs := 0
	w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) {
		mu.Lock()
		defer mu.Unlock()
		if runs++; runs == 1 {
			a := errorResponse(http.StatusInternalServerError)
			a.Body = io.NopCloser(io.MultiReader(strings.NewReader("inter"), brokenReader{}))
			return a, nil
		}
		return rawStream(true, 1, 2, 3), nil
	})
	a, err := w.requestWithBody(t.Context(), g, "/chat/1", "tell")
	if err != nil || a.Status != http.StatusInternalServerError {
		t.Fatalf("%+v, %v", a, err)
	}
	if body, err := readStream(a, nil); err == nil || body != "inter" {
		t.Errorf("read %q, %v; want the part of the body and an error", body, err)
	}
}

// Guards against a stream that reaches its caller as a success without the signature of an upstream.
func TestUnsignedStreamIsNotASuccess(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) {
		a := rawStream(true, 1, 2, 3)
		a.Signed = false
		return a, nil
	})
	if a, err := w.requestWithBody(t.Context(), g, "/chat/1", "tell"); err == nil {
		t.Errorf("answered with status %d", a.Status)
	} else if r := asRefusal(t, err); r.Status != http.StatusBadGateway {
		t.Errorf("answered with status %d, want 502", r.Status)
	}
}

// failingWriter is a caller who has disconnected.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("connection closed") }

// Guards against a stream that is sent to further upstreams after its caller has disconnected.
func TestStreamEndsWithItsCaller(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 4, map[string]int64{testModel: 1})
	g := w.start("a")
	a, err := w.requestWithBody(t.Context(), g, "/chat/1", "tell")
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Stream(failingWriter{}, func() {}); err == nil {
		t.Error("the stream ended as complete")
	}
	if n := w.upstreams.requests(func(upstreamcall.Request) bool { return true }); n != 1 {
		t.Errorf("%d sends, want 1", n)
	}
}

// Guards against a stream that is sent to its only upstream over and over, as fast as the upstream breaks it off.
func TestStreamWithoutProgressIsBrokenOff(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	var mu sync.Mutex
	runs := 0
	w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) {
		mu.Lock()
		defer mu.Unlock()
		if runs++; runs == 1 {
			return rawStream(false, 1, 2), nil
		}
		return rawStream(false), nil
	})
	body, err := readStream(w.requestWithBody(t.Context(), g, "/chat/1", "tell"))
	if err == nil || body != writtenEvents(2) || runs > 6 {
		t.Errorf("read %q, %v after %d runs; the route allows 5 without an event", body, err, runs)
	}
}

// Guards against a stream that is refused, or a broken one that is not resumed, because its upstreams were asked several
// times within the moment in which all of them were full.
func TestStreamWaitsForRoom(t *testing.T) {
	for name, started := range map[string]bool{"first run": false, "resumed": true} {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t)
			g := w.start("a")
			var mu sync.Mutex
			runs := 0
			var fullUntil time.Time
			w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
				mu.Lock()
				defer mu.Unlock()
				if runs++; runs == 1 {
					fullUntil = time.Now().Add(25 * time.Millisecond)
					if started {
						return rawStream(false, 1, 2), nil
					}
				}
				if time.Now().Before(fullUntil) {
					return nil, notRun(upstreamcall.Busy)
				}
				return rawStream(true, []int{1, 2, 3, 4, 5, 6}[r.ResumeAfter:]...), nil
			})
			body, err := readStream(w.requestWithBody(t.Context(), g, "/chat/1", "tell"))
			if err != nil || body != writtenEvents(streamEvents) {
				t.Errorf("read %q, %v after %d sends", body, err, runs)
			}
		})
	}
}
