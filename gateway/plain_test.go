package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

func (w *testCluster) request(g *Gateway, ctx context.Context, path string) (*call.Response, error) {
	return g.Handle(ctx, &call.Request{
		ID: "attempt-1", Host: testHost, Method: http.MethodPost, Path: path, Target: path, Key: testKey,
		Received: time.Now(), Timeout: 2 * time.Second,
	})
}

// asRefusal fails the test unless the error is a refusal.
func asRefusal(t *testing.T, err error) *outcome.Refusal {
	t.Helper()
	var r *outcome.Refusal
	if !errors.As(err, &r) {
		t.Fatalf("%v is not a refusal", err)
	}
	return r
}

// Guards against the outcome "not run" for a request that may have run, and against a second run of a request that is
// not idempotent.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("p2", plainService, 4, nil)
	g := w.start("a")
	for _, c := range []struct {
		reason upstreamcall.Reason
		err    error
		sends  int
		status int
		ran    outcome.Outcome
	}{
		{upstreamcall.Broken, mayHaveRun(upstreamcall.Broken), 1, http.StatusBadGateway, outcome.MayHaveRun},
		{upstreamcall.Stale, mayHaveRun(upstreamcall.Stale), 1, http.StatusBadGateway, outcome.MayHaveRun},
		{upstreamcall.Crossed, mayHaveRun(upstreamcall.Crossed), 1, http.StatusBadGateway, outcome.MayHaveRun},
		{upstreamcall.Busy, notRun(upstreamcall.Busy), 2, http.StatusServiceUnavailable, outcome.NotRun},
		{upstreamcall.Unreachable, notRun(upstreamcall.Unreachable), 2, http.StatusServiceUnavailable, outcome.NotRun},
	} {
		before := w.upstreams.requests(func(upstreamcall.Request) bool { return true })
		w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) { return nil, c.err })
		_, err := w.request(g, t.Context(), "/bill/1")
		r := asRefusal(t, err)
		if r.Status != c.status || r.Outcome != c.ran {
			t.Errorf("%s: answered %d %s, want %d %s", c.reason, r.Status, r.Outcome, c.status, c.ran)
		}
		if r.Status == http.StatusServiceUnavailable && r.RetryAfter <= 0 {
			t.Errorf("%s: refused without a Retry-After time", c.reason)
		}
		if sends := w.upstreams.requests(func(upstreamcall.Request) bool { return true }) - before; sends < c.sends || c.sends == 1 && sends != 1 {
			t.Errorf("%s: %d sends, want %d", c.reason, sends, c.sends)
		}
	}
}

// Guards against an idempotent request that fails although another upstream could serve it.
func TestIdempotentRequestIsRetried(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("p2", plainService, 4, nil)
	g := w.start("a")
	for name, first := range map[string]func() (*upstreamcall.Response, error){
		"broken": func() (*upstreamcall.Response, error) { return nil, mayHaveRun(upstreamcall.Broken) },
		"error":  func() (*upstreamcall.Response, error) { return signed(http.StatusInternalServerError, "failed"), nil },
		"unsigned": func() (*upstreamcall.Response, error) {
			a := signed(http.StatusOK, "x")
			a.Signed = false
			return a, nil
		},
	} {
		sends := 0
		w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) {
			if sends++; sends == 1 {
				return first()
			}
			return nil, nil
		})
		response, err := w.request(g, t.Context(), "/quote/1")
		if err != nil || response.Status != http.StatusOK || string(response.Body) != "done" {
			t.Errorf("%s: %+v, %v", name, response, err)
		}
	}
}

// Guards against a caller that waits for a silent upstream while another one would respond.
func TestHedgeAnswersForSilentUpstream(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("p2", plainService, 4, nil)
	g := w.start("a")
	g.mu.Lock()
	for range 20 {
		g.hedges.AddFirstAttempt(time.Now())
	}
	g.mu.Unlock()
	silent := make(chan struct{})
	defer close(silent)
	sends := make(chan struct{}, 9)
	w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) {
		sends <- struct{}{}
		if len(sends) == 1 {
			<-silent
		}
		return nil, nil
	})
	started := time.Now()
	if response, err := w.request(g, t.Context(), "/quote/1"); err != nil || response.Status != http.StatusOK {
		t.Fatalf("%+v, %v", response, err)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("answered after %s", took)
	}
}

// Guards against a route that is served without a valid key, and against a request for an unknown host or path that
// reaches an upstream.
func TestUnknownKeysAndRoutesAreRefused(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	for _, c := range []struct {
		host, path, key string
		status          int
	}{
		{testHost, "/quote/1", "unknown", http.StatusUnauthorized}, {testHost, "/quote/1", "", http.StatusUnauthorized},
		{testHost, "/nowhere/1", testKey, http.StatusNotFound}, {"other.example", "/quote/1", testKey, http.StatusNotFound},
	} {
		_, err := g.Handle(t.Context(), &call.Request{ID: "1", Host: c.host, Path: c.path, Key: c.key, Received: time.Now()})
		if r := asRefusal(t, err); r.Status != c.status {
			t.Errorf("%s%s with key %q: %d, want %d", c.host, c.path, c.key, r.Status, c.status)
		}
	}
	if n := w.upstreams.requests(func(upstreamcall.Request) bool { return true }); n != 0 {
		t.Errorf("%d refused requests reached an upstream", n)
	}
}
