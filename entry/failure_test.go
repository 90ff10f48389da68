package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// Guards against a retry of a non-idempotent request whose connection is reset after it was sent.
func TestNonIdempotentRequestNotRetriedAfterReset(t *testing.T) {
	// The retry budget is ample, so that only the rule for non-idempotent requests prevents a retry.
	r := newTestEnv(t, func(o *Options) { o.Settings.RetryShare = 1 })
	var executions atomic.Int32
	reset := func(http.ResponseWriter, *http.Request) {
		executions.Add(1)
		panic(http.ErrAbortHandler)
	}
	r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", newFakeAgent(t, reset))
	r.addUpstream("desk-2", fleetconfig.UpstreamService, "desk", newFakeAgent(t, reset))
	r.do("POST", "/book", testSecret, `{"id":"b1"}`).wantRefusal(t, outcome.KindUpstreamFailed, outcome.MayHaveRun)
	if n := executions.Load(); n != 1 {
		t.Fatalf("the booking ran %d times", n)
	}
	// net/http retries a request without a body if a reused connection is closed; that must not happen either.
	r.do("POST", "/book", testSecret, "").wantRefusal(t, outcome.KindUpstreamFailed, outcome.MayHaveRun)
	if n := executions.Load(); n != 2 {
		t.Fatalf("the empty booking ran %d times", n-1)
	}
}

// Guards against a request that is refused by one agent and not retried on another.
func TestNotRunIsRetriedOnAnotherUpstream(t *testing.T) {
	for _, path := range []string{"/book", "/fare"} {
		r := newTestEnv(t, func(o *Options) { o.Settings.RetryShare = 1 })
		refuser := newFakeAgent(t, respondWithRefusal(outcome.KindLeaving, outcome.NotRun))
		// At first the only upstream is one that refuses; the second one is added afterwards.
		r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", refuser)
		r.do("POST", path, testSecret, "x").wantRefusal(t, outcome.KindLeaving, outcome.NotRun)
		good := newFakeAgent(t, respondWithText("booked"))
		r.addUpstream("desk-2", fleetconfig.UpstreamService, "desk", good)
		for range 8 {
			r.do("POST", path, testSecret, "x").wantOK(t, "booked")
		}
		if len(refuser.calls()) < 2 || len(good.calls()) != 8 {
			t.Fatalf("%s: %d refused and %d ran", path, len(refuser.calls()), len(good.calls()))
		}
	}
}

// Guards against a status that invites a resend of a request that an earlier attempt may have run.
func TestStatusCoversAllAttempts(t *testing.T) {
	r := newTestEnv(t, func(o *Options) { o.Settings.RetryShare = 1 })
	dead := newFakeAgent(t, respondWithText("x"))
	dead.server.Close()
	reset := newFakeAgent(t, func(http.ResponseWriter, *http.Request) {
		// Only the retry finds this upstream.
		r.addUpstream("desk-2", fleetconfig.UpstreamService, "desk", dead)
		panic(http.ErrAbortHandler)
	})
	r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", reset)
	got := r.do("POST", "/fare", testSecret, "x")
	got.wantRefusal(t, outcome.KindUpstreamFailed, outcome.MayHaveRun)
	if explanation, _ := r.entry.Explain(got.header.Get(HeaderRequestID)); len(explanation.Failures) != 2 {
		t.Fatalf("failures %q, want one of each upstream", explanation.Failures)
	}
	if got.status != http.StatusBadGateway {
		t.Fatalf("status %d, want %d", got.status, http.StatusBadGateway)
	}
}

// Guards against a refused connection that is not reported as "not run", with a status and a time to retry.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	r := newTestEnv(t, nil)
	dead := newFakeAgent(t, respondWithText("x"))
	dead.server.Close()
	r.addService(dead)
	got := r.do("POST", "/book", testSecret, "x")
	if got.refusal.Outcome != outcome.NotRun.String() || got.header.Get("Retry-After") == "" || got.status != http.StatusServiceUnavailable {
		t.Fatalf("got status %d, %+v", got.status, got.refusal)
	}
}

// Guards against a truncated response that looks complete to the caller.
func TestTruncatedResponse(t *testing.T) {
	truncate := func(contentType string, size int, reset bool) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			w.Header().Set("Trailer", dataplane.TrailerComplete)
			_, _ = io.WriteString(w, strings.Repeat("x", size))
			_ = http.NewResponseController(w).Flush()
			if reset {
				panic(http.ErrAbortHandler)
			}
		}
	}
	for _, reset := range []bool{false, true} {
		for _, kind := range []string{"text/event-stream", "application/octet-stream"} {
			r := newTestEnv(t, func(o *Options) { o.Settings.MaxAnswerBufferBytes = 100 })
			r.addService(newFakeAgent(t, truncate(kind, 1000, reset)))
			if got := r.do("POST", "/book", testSecret, "x"); got.err == nil {
				t.Fatalf("%s reset=%v: the truncated response ended cleanly with %d bytes", kind, reset, len(got.body))
			}
			r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", newFakeAgent(t, truncate("text/plain", 10, reset)))
			r.do("POST", "/book", testSecret, "x").wantRefusal(t, outcome.KindUpstreamFailed, outcome.MayHaveRun)
		}
	}
}

// Guards against a response that belongs to another request: one with another request id, or one that arrives after the
// deadline of its own request.
func TestMismatchedAndLateResponses(t *testing.T) {
	r := newTestEnv(t, nil)
	other := newFakeAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(dataplane.HeaderRequestID, "of-another-caller")
		respond(w, "text/plain", "the response of another caller", dataplane.Result{})
	})
	r.addService(other)
	r.do("POST", "/book", testSecret, "x").wantRefusal(t, outcome.KindUpstreamFailed, outcome.MayHaveRun)
	release := make(chan struct{})
	r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", newFakeAgent(t, func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get(dataplane.HeaderTarget) == "/book/slow" {
			<-release
		}
		respond(w, "text/plain", q.Header.Get(dataplane.HeaderTarget), dataplane.Result{})
	}))
	r.do("POST", "/book/slow", testSecret, "x", HeaderRequestTimeout, "100ms").wantRefusal(t, outcome.KindDeadline, outcome.MayHaveRun)
	close(release)
	for i := range 5 {
		path := fmt.Sprintf("/book/%d", i)
		r.do("POST", path, testSecret, "x").wantOK(t, path)
	}
}

// newStreamAgent starts an agent that sends one event and then waits until the entry cancels the request, which it
// reports on cancelled.
func newStreamAgent(t *testing.T) (a *fakeAgent, cancelled chan struct{}) {
	cancelled = make(chan struct{}, 8)
	return newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Trailer", dataplane.TrailerComplete)
		_, _ = io.WriteString(w, "data: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		cancelled <- struct{}{}
	}), cancelled
}

func openStream(t *testing.T, r *testEnv) *http.Response {
	req, _ := http.NewRequest("POST", r.url+"/book/stream", strings.NewReader("x"))
	req.Header.Set("X-Api-Key", testSecret)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	if line, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil || line != "data: 1\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	return resp
}

func waitFor(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("not within 5 s: " + what)
	}
}

// Guards against streams that outlive the withdrawal of their key or the isolation of the entry, and against an ended
// stream that looks complete.
func TestKeyWithdrawnDuringStream(t *testing.T) {
	for name, end := range map[string]func(*testEnv){
		"withdrawn": func(r *testEnv) {
			r.config.set(fleetconfig.KindKey, "k1", fleetconfig.Key{
				SecretHash: fleetconfig.HashSecret(testSecret), Workspace: "hraunvegur", Withdrawn: true})
		},
		"isolated": func(r *testEnv) { r.config.isolated.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestEnv(t, nil)
			agent, cancelled := newStreamAgent(t)
			r.addService(agent)
			resp := openStream(t, r)
			end(r)
			if _, err := io.ReadAll(resp.Body); err == nil {
				t.Fatal("the ended stream looks complete")
			}
			waitFor(t, "the agent's request is cancelled", cancelled)
		})
	}
}

// Guards against a queued request that still runs after its key was withdrawn.
func TestKeyWithdrawnWhileQueued(t *testing.T) {
	r := newTestEnv(t, func(o *Options) { o.Settings.QueueTokens = 1 })
	agent, _ := newStreamAgent(t)
	r.addService(agent)
	r.config.set(fleetconfig.KindKey, "k3", fleetconfig.Key{SecretHash: fleetconfig.HashSecret("third"), Workspace: "hraunvegur"})
	openStream(t, r)
	waiting := make(chan callerResponse)
	go func() { waiting <- r.do("POST", "/book", "third", "x") }()
	for r.entry.gate.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.config.set(fleetconfig.KindKey, "k3", fleetconfig.Key{
		SecretHash: fleetconfig.HashSecret("third"), Workspace: "hraunvegur", Withdrawn: true})
	(<-waiting).wantRefusal(t, outcome.KindKeyWithdrawn, outcome.NotRun)
	if n := len(agent.calls()); n != 1 {
		t.Fatalf("the agent received %d requests", n)
	}
}

// Guards against an agent that continues a request whose caller has disconnected.
func TestCallerDisconnectCancelsAgent(t *testing.T) {
	r := newTestEnv(t, nil)
	agent, cancelled := newStreamAgent(t)
	r.addService(agent)
	openStream(t, r).Body.Close()
	waitFor(t, "the agent's request is cancelled", cancelled)
}

// Guards against a shutdown that aborts a stream or accepts new requests.
func TestShutdownFinishesStreams(t *testing.T) {
	r := newTestEnv(t, nil)
	finish := make(chan struct{})
	r.addService(newFakeAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Trailer", dataplane.TrailerComplete)
		_, _ = io.WriteString(w, "data: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-finish
		_, _ = io.WriteString(w, "data: 2\n\n")
		w.Header().Set(dataplane.TrailerComplete, "true")
	}))
	resp := openStream(t, r)
	r.entry.Leave()
	r.do("POST", "/book", testSecret, "x").wantRefusal(t, outcome.KindLeaving, outcome.NotRun)
	stopped := make(chan struct{})
	go func() {
		_ = r.server.Config.Shutdown(context.Background())
		close(stopped)
	}()
	close(finish)
	rest, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(rest), "data: 2\n\n") {
		t.Fatalf("the stream was aborted: %q, %v", rest, err)
	}
	waitFor(t, "the server stops", stopped)
}

// Guards against "not run" for a request whose last attempt did not run although an earlier one may have.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	r := newTestEnv(t, func(o *Options) { o.Settings.RetryShare = 1 })
	var calls atomic.Int32
	serve := func(w http.ResponseWriter, q *http.Request) {
		if calls.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		respondWithRefusal(outcome.KindOverloaded, outcome.NotRun)(w, q)
	}
	r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", newFakeAgent(t, serve))
	r.addUpstream("desk-2", fleetconfig.UpstreamService, "desk", newFakeAgent(t, serve))
	got := r.do("POST", "/fare", testSecret, "x")
	got.wantRefusal(t, outcome.KindOverloaded, outcome.MayHaveRun)
	if !strings.Contains(got.body, "check the effect before repeating the request") {
		t.Errorf("body %s; want the remedy of a request that may have run", got.body)
	}
	if n := calls.Load(); n != 2 {
		t.Fatalf("%d attempts, want 2", n)
	}
}

// Guards against workspaces that exceed their token limit, and against a refusal without Retry-After.
func TestWorkspaceTokenLimit(t *testing.T) {
	r := newTestEnv(t, func(o *Options) { o.Quota = NewQuotaShares("entry-1", o.Config) })
	r.addService(newFakeAgent(t, respondWithText("90")))
	// Without grants, one of 16 entries has 1/64 of the limit and can save two seconds of it: two requests.
	r.config.set(fleetconfig.KindWorkspace, "hraunvegur", fleetconfig.Workspace{TokensPerSecond: 64})
	r.do("GET", "/fare", testSecret, "").wantOK(t, "90")
	r.do("GET", "/fare", testSecret, "").wantOK(t, "90")
	got := r.do("GET", "/fare", testSecret, "")
	got.wantRefusal(t, outcome.KindOverQuota, outcome.NotRun)
	if got.status != http.StatusTooManyRequests || got.header.Get("Retry-After") != "1" {
		t.Fatalf("got %d %v", got.status, got.header)
	}
	r.do("GET", "/open", "", "").wantOK(t, "90")
}
