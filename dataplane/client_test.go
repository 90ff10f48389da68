package dataplane

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

func doCall(t *testing.T, serve http.HandlerFunc, call Call) (*Response, *outcome.Refusal) {
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	call.Address = server.Listener.Addr().String()
	return send(t, NewClient(nil, "fleet-secret"), call)
}

func send(t *testing.T, client *Client, call Call) (*Response, *outcome.Refusal) {
	response, err := client.Do(context.Background(), call)
	if err == nil {
		t.Cleanup(func() { response.Close() })
		return response, nil
	}
	refusal, ok := outcome.AsRefusal(err)
	if !ok {
		t.Fatalf("error %v is not a refusal", err)
	}
	return nil, refusal
}

func echoRequestID(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
}

// Guards against a response that counts as complete without the trailer that proves it, for every form of response from
// an agent.
func TestResponseCompletion(t *testing.T) {
	tests := []struct {
		name     string
		serve    http.HandlerFunc
		complete bool
		result   bool
	}{
		{"complete", func(w http.ResponseWriter, r *http.Request) {
			echoRequestID(w, r)
			w.Header().Set("Trailer", TrailerComplete+", "+TrailerResult)
			_, _ = io.WriteString(w, "x")
			w.Header().Set(TrailerComplete, "true")
			w.Header().Set(TrailerResult, `{"upstream":"u"}`)
		}, true, true},
		{"no marker", func(w http.ResponseWriter, r *http.Request) {
			echoRequestID(w, r)
			_, _ = io.WriteString(w, "x")
		}, false, false},
		{"marker as a header of a response with a body", func(w http.ResponseWriter, r *http.Request) {
			echoRequestID(w, r)
			w.Header().Set(TrailerComplete, "true")
			_, _ = io.WriteString(w, "x")
		}, false, false},
		{"reset", func(w http.ResponseWriter, r *http.Request) {
			echoRequestID(w, r)
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, false, false},
		{"no content", func(w http.ResponseWriter, r *http.Request) {
			echoRequestID(w, r)
			w.Header().Set(TrailerComplete, "true")
			w.Header().Set(TrailerResult, `{"upstream":"u"}`)
			w.WriteHeader(http.StatusNoContent)
		}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			response, refusal := doCall(t, tt.serve, Call{RequestID: "r1", Body: []byte("b")})
			if refusal != nil {
				t.Fatal(refusal)
			}
			_, err := io.ReadAll(response)
			if (err == nil) != tt.complete || err != nil && !errors.Is(err, ErrTruncated) {
				t.Fatalf("error %v, want complete %v", err, tt.complete)
			}
			if _, ok := response.Result(); ok != tt.result {
				t.Fatalf("result %v, want %v", ok, tt.result)
			}
		})
	}
}

// Guards against an outcome of "not run" that is not certain.
func TestOutcomeOfFailedCalls(t *testing.T) {
	refuse := func(outcomeText string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			echoRequestID(w, r)
			w.Header().Set(HeaderRefusalKind, "leaving")
			w.Header().Set(HeaderOutcome, outcomeText)
			w.Header().Set("Retry-After", "7")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	_, refusal := doCall(t, refuse("not-run"), Call{RequestID: "r1"})
	if refusal.Outcome != outcome.NotRun || refusal.RetryAfter != 7*time.Second || refusal.Kind != outcome.KindLeaving {
		t.Fatalf("got %+v", refusal)
	}
	for name, serve := range map[string]http.HandlerFunc{
		"unknown outcome": refuse("perhaps"),
		"no outcome":      refuse(""),
		"reset":           func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no request id":   func(http.ResponseWriter, *http.Request) {},
		"other request": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderRefusalKind, "leaving")
			w.Header().Set(HeaderOutcome, "not-run")
			w.Header().Set(HeaderRequestID, "r2")
		},
	} {
		if _, refusal := doCall(t, serve, Call{RequestID: "r1"}); refusal == nil || refusal.Outcome != outcome.MayHaveRun {
			t.Fatalf("%s: got %v", name, refusal)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if _, refusal := send(t, NewClient(nil, ""), Call{Address: l.Addr().String()}); refusal.Outcome != outcome.NotRun {
		t.Fatalf("refused connection: %v", refusal)
	}
}

// Guards against net/http resending a request on its own after a reused connection was closed.
func TestNeverResentByTransport(t *testing.T) {
	for _, body := range []string{"", "body"} {
		var received atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			echoRequestID(w, r)
			if received.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
		}))
		t.Cleanup(server.Close)
		client := NewClient(nil, "")
		call := Call{
			Address: server.Listener.Addr().String(), RequestID: "r1", Body: []byte(body),
			// net/http takes this header as permission to resend the request.
			Header: http.Header{"Idempotency-Key": {"k"}},
		}
		response, refusal := send(t, client, call)
		if refusal != nil {
			t.Fatal(refusal)
		}
		_, _ = io.ReadAll(response)
		response.Close()
		if _, refusal := send(t, client, call); refusal == nil || refusal.Outcome != outcome.MayHaveRun {
			t.Fatalf("got %v", refusal)
		}
		if n := received.Load(); n != 2 {
			t.Fatalf("body %q: the agent received %d requests, want 2", body, n)
		}
	}
}

// Guards against telling a caller to repeat a request that may have run, and against losing what the agent says about a
// refusal.
func TestRefusalText(t *testing.T) {
	const checkEffect = "check the effect before repeating the request"
	const body = `{"message":"the queue is full","remedy":"repeat the request later"}`
	tests := []struct{ name, outcome, body, message, remedy string }{
		{"may have run", "may-have-run", "", "refused the request", checkEffect},
		{"no outcome", "", body, "refused the request: the queue is full", checkEffect},
		{"unknown outcome", "perhaps", body, "refused the request: the queue is full", checkEffect},
		{"ran", "ran", body, "refused the request: the queue is full", checkEffect},
		{"not run", "not-run", body, "refused the request: the queue is full", "repeat the request later"},
		{"not run without a body", "not-run", "", "refused the request", "repeat the request"},
		{"not run with another body", "not-run", "<html>", "refused the request", "repeat the request"},
		{"not run with a huge body", "not-run", `{"message":"` + strings.Repeat("x", 1<<20) + `"}`, "refused the request", "repeat the request"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, refusal := doCall(t, func(w http.ResponseWriter, r *http.Request) {
				echoRequestID(w, r)
				w.Header().Set(HeaderRefusalKind, "overloaded")
				w.Header().Set(HeaderOutcome, tt.outcome)
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, tt.body)
			}, Call{RequestID: "r1"})
			if refusal.Remedy != tt.remedy || !strings.HasSuffix(refusal.Message, tt.message) {
				t.Errorf("got message %.100q and remedy %.100q; want %q and %q", refusal.Message, refusal.Remedy, tt.message, tt.remedy)
			}
		})
	}
}

// Guards against a refusal that takes effect late because the agent does not end its body.
func TestRefusalWithStalledBody(t *testing.T) {
	stalled := make(chan struct{})
	defer close(stalled)
	start := time.Now()
	_, refusal := doCall(t, func(w http.ResponseWriter, r *http.Request) {
		echoRequestID(w, r)
		w.Header().Set(HeaderRefusalKind, "overloaded")
		w.Header().Set(HeaderOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-stalled:
		case <-r.Context().Done():
		}
	}, Call{RequestID: "r1"})
	if took := time.Since(start); refusal.Outcome != outcome.NotRun || took > 2*time.Second {
		t.Errorf("got %v after %s", refusal, took)
	}
}
