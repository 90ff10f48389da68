package trainerapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/lotstore"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/telemetry"
)

// fakeBackend returns the same result for every call and accepts one key, which may be withdrawn.
type fakeBackend struct {
	content   string
	err       error
	withdrawn atomic.Bool
	published int64
}

func (f *fakeBackend) Pull(context.Context, string, int64, int64) (lots.Lot, []byte, error) {
	return lots.Lot{}, []byte(f.content), f.err
}

func (f *fakeBackend) Status(context.Context, string) (lotstore.Status, error) {
	return lotstore.Status{Acknowledged: 7}, f.err
}

func (f *fakeBackend) PublishVersion(_ context.Context, _ string, version int64) error {
	f.published = version
	return f.err
}

func (f *fakeBackend) Trainer(r *http.Request) (string, error) {
	if f.withdrawn.Load() || r.Header.Get("Authorization") != "Bearer secret" {
		return "", &outcome.Refusal{Kind: outcome.KindUnauthorized, Outcome: outcome.NotRun, Status: http.StatusUnauthorized}
	}
	return "coach", nil
}

func (f *fakeBackend) send(method, path, key, body string) *httptest.ResponseRecorder {
	h := New(Options{Lots: f, Publisher: f, Authenticator: f, Log: zerolog.Nop(), Registry: telemetry.NewRegistry()})
	r := httptest.NewRequest(method, PathPrefix+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against an error response that does not tell a trainer how to proceed, and a lot served to another trainer.
func TestResponses(t *testing.T) {
	down := &hosting.Error{Kind: hosting.KindUnavailable, Op: "table get"}
	const pull = `{"after":1,"step":2}`
	tests := []struct {
		name, method, path, key, body string
		fake                          *fakeBackend
		status                        int
		want                          string
	}{
		{"lot", "POST", "coach/pull", "secret", pull, &fakeBackend{content: `{"number":2}`}, 200, `{"number":2}`},
		{"none ready", "POST", "coach/pull", "secret", pull, &fakeBackend{err: lots.ErrNotReady}, 204, ""},
		{"void", "POST", "coach/pull", "secret", pull, &fakeBackend{err: &lots.VoidError{Number: 2, Next: 3}}, 410, `"next_lot":3`},
		{"sequence", "POST", "coach/pull", "secret", pull, &fakeBackend{err: &lots.SequenceError{After: 1, Acknowledged: 4}}, 409, `"acknowledged":4`},
		{"store down", "POST", "coach/pull", "secret", pull, &fakeBackend{err: down}, 503, `"outcome":"not-run"`},
		{"unknown trainer", "POST", "coach/pull", "secret", pull, &fakeBackend{err: lotstore.ErrUnknownTrainer}, 404, `"not_found"`},
		{"wrong key", "POST", "coach/pull", "guess", pull, &fakeBackend{}, 401, `"unauthorized"`},
		{"path of another trainer", "POST", "other/pull", "secret", pull, &fakeBackend{content: "{}"}, 403, `"unauthorized"`},
		{"unknown field", "POST", "coach/pull", "secret", `{"from":1}`, &fakeBackend{}, 400, `"invalid_request"`},
		{"two objects", "POST", "coach/pull", "secret", pull + pull, &fakeBackend{}, 400, `"invalid_request"`},
		{"long wait", "POST", "coach/pull", "secret", `{"wait_ms":60001}`, &fakeBackend{}, 400, `"invalid_request"`},
		{"large body", "POST", "coach/pull", "secret", strings.Repeat(" ", maxBodyBytes+1), &fakeBackend{}, 413, `"payload_too_large"`},
		{"method", "GET", "coach/pull", "secret", "", &fakeBackend{}, 405, `"method_not_allowed"`},
		{"unknown path", "GET", "coach/lots", "secret", "", &fakeBackend{}, 404, `"not_found"`},
		{"publish", "POST", "coach/versions", "secret", `{"version":4,"step":4,"size_bytes":10}`, &fakeBackend{}, 202, `"version":4`},
		{"publish version 0", "POST", "coach/versions", "secret", `{"version":0}`, &fakeBackend{}, 400, `"invalid_request"`},
		{"status", "GET", "coach/status", "secret", "", &fakeBackend{}, 200, `"acknowledged":7`},
	}
	for _, tt := range tests {
		w := tt.fake.send(tt.method, tt.path, tt.key, tt.body)
		if w.Code != tt.status || !strings.Contains(w.Body.String(), tt.want) {
			t.Errorf("%s: status %d, body %s; want %d and %s", tt.name, w.Code, w.Body, tt.status, tt.want)
		}
		if w.Header().Get(headerRequestID) == "" || (w.Code == 503) != (w.Header().Get("Retry-After") != "") {
			t.Errorf("%s: headers %v", tt.name, w.Header())
		}
		var body ErrorBody
		if w.Code >= 400 && (json.Unmarshal(w.Body.Bytes(), &body) != nil || body.Error.RequestID == "") {
			t.Errorf("%s: body %s is not a typed error", tt.name, w.Body)
		}
	}
}

// Guards against a waiting pull that continues after its key was withdrawn, and a wait longer than requested.
func TestWaitingPull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeBackend{err: lots.ErrNotReady}
		start := time.Now()
		w := f.send("POST", "coach/pull", "secret", `{"wait_ms":10000}`)
		if w.Code != 204 || time.Since(start) != 10*time.Second {
			t.Fatalf("status %d after %v", w.Code, time.Since(start))
		}
		start = time.Now()
		time.AfterFunc(1200*time.Millisecond, func() { f.withdrawn.Store(true) })
		w = f.send("POST", "coach/pull", "secret", `{"wait_ms":10000}`)
		if w.Code != 401 || time.Since(start) > 2*time.Second {
			t.Fatalf("status %d after %v with a withdrawn key", w.Code, time.Since(start))
		}
	})
}

// Guards against reporting "not-run" for a call whose outcome is unknown.
func TestUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	f := &fakeBackend{err: errors.Join(&hosting.Error{Kind: hosting.KindUnknown, Op: "table commit"})}
	w := f.send("POST", "coach/versions", "secret", `{"version":4}`)
	if w.Code != 503 || !strings.Contains(w.Body.String(), `"may-have-run"`) {
		t.Fatalf("status %d, body %s", w.Code, w.Body)
	}
}
