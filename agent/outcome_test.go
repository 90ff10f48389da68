package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/standin/engine"
	"github.com/radishshelf/radishshelf/standin/service"
)

func startService(t *testing.T) (*service.Service, *httptest.Server) {
	t.Helper()
	s := service.New(service.Settings{StartCount: 7}, service.Options{Logger: zerolog.Nop()})
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, server
}

func wantRefusal(t *testing.T, err error, kind outcome.Kind, o outcome.Outcome) {
	t.Helper()
	refusal, ok := outcome.AsRefusal(err)
	if !ok || refusal.Kind != kind || refusal.Outcome != o {
		t.Errorf("err = %v; want %s with outcome %s", err, kind, o)
	}
}

// Guards against a booking that runs twice, or is reported as "not run" after it ran.
func TestResetAfterSendMayHaveRunOnce(t *testing.T) {
	s, server := startService(t)
	f := startAgent(t, server.URL, fleetconfig.UpstreamService, nil)
	postJSON(t, server.URL+"/admin/faults", service.Faults{ResetAfterExecuting: true})
	_, err := f.client.Do(t.Context(), f.call("r1", http.MethodPost, "/bookings", []byte(`{"id":"b1"}`)))
	wantRefusal(t, err, outcome.KindUpstreamFailed, outcome.MayHaveRun)
	if got := s.Executions().Bookings["b1"]; got != 1 {
		t.Errorf("executions = %d; want 1", got)
	}
}

// Guards against net/http resending a request without a body, which it considers replayable.
func TestRequestsAreNotResent(t *testing.T) {
	var arrived atomic.Int64
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			return
		}
		if arrived.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer upstream.Close()
	f := startAgent(t, upstream.URL, fleetconfig.UpstreamService, nil)
	for i, method := range []string{http.MethodGet, http.MethodGet, http.MethodPost, http.MethodPost, http.MethodDelete, http.MethodDelete} {
		c := f.call("r", method, "/any", nil)
		c.Header = http.Header{"Idempotency-Key": {"k"}}
		c.Fingerprint = ""
		_, err := f.client.Do(t.Context(), c)
		if i%2 == 1 {
			wantRefusal(t, err, outcome.KindUpstreamFailed, outcome.MayHaveRun)
		} else if err != nil {
			t.Error(err)
		}
		if got := arrived.Load(); got != int64(i+1) {
			t.Fatalf("%s: %d requests arrived; want %d", method, got, i+1)
		}
	}
}

// Guards against reporting "may have run", which prevents a retry, although the refused connection proves that the
// request did not run.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	_, server := startService(t)
	f := startAgent(t, server.URL, fleetconfig.UpstreamService, nil)
	server.Close()
	_, err := f.client.Do(t.Context(), f.call("r1", http.MethodPost, "/bookings", []byte(`{"id":"b1"}`)))
	wantRefusal(t, err, outcome.KindUpstreamFailed, outcome.NotRun)
	if refusal, _ := outcome.AsRefusal(err); refusal.Status != http.StatusServiceUnavailable || refusal.RetryAfter <= 0 {
		t.Errorf("status %d, Retry-After %s; want 503 with a time", refusal.Status, refusal.RetryAfter)
	}
}

// Guards against a request that is refused as "not run" by a full or leaving agent, but reached the upstream.
func TestFullOrLeavingAgentRefusesAsNotRun(t *testing.T) {
	e, server := startEngine(t, func(s *engine.Settings) { s.TokensPerSecond = 50 })
	f := startAgent(t, server.URL, engineKind, func(s *Settings) { s.Slots, s.QueueLimit = 1, 0 })
	running := make(chan error, 1)
	go func() {
		_, err := f.chat("r1", 25, true)
		running <- err
	}()
	f.eventually("running request", func() bool { return f.load().Running == 1 })
	_, err := f.chat("r2", 1, false)
	wantRefusal(t, err, outcome.KindOverloaded, outcome.NotRun)
	exclusive := f.call("r3", http.MethodPost, engineapi.PathChat, chatBody(1, false))
	exclusive.Exclusive = true
	_, err = f.client.Do(t.Context(), exclusive)
	wantRefusal(t, err, outcome.KindOverloaded, outcome.NotRun)
	late := f.call("r4", http.MethodPost, engineapi.PathChat, chatBody(1, false))
	late.Timeout = -time.Second
	_, err = f.client.Do(t.Context(), late)
	wantRefusal(t, err, outcome.KindDeadline, outcome.NotRun)
	f.Leave("test")
	_, err = f.chat("r5", 1, false)
	wantRefusal(t, err, outcome.KindLeaving, outcome.NotRun)
	if err := <-running; err != nil {
		t.Errorf("the running stream ended with %v", err)
	}
	if got := e.Executions(); len(got) != 1 || got[0] != "r1" {
		t.Errorf("executions = %v; want r1 only", got)
	}
}

// Guards against a graceful shutdown that breaks an open stream, or is not reported to the entries.
func TestDrainFinishesOpenStream(t *testing.T) {
	_, server := startEngine(t, func(s *engine.Settings) { s.TokensPerSecond = 50 })
	f := startAgent(t, server.URL, engineKind, nil)
	f.waitForVersion()
	ended := make(chan dataplane.Result, 1)
	go func() {
		result, err := f.chat("r1", 30, true)
		if err != nil {
			t.Error(err)
		}
		ended <- result
	}()
	f.eventually("running request", func() bool { return f.load().Running == 1 })
	f.stop()
	f.eventually("leaving report", func() bool { return f.entries[1].lastReport().Leaving })
	if result := <-ended; result.CompletionTokens != 30 || result.UsageSeq != 1 {
		t.Errorf("result = %+v; want all 30 tokens and usage record 1", result)
	}
	err := <-f.done
	f.done <- err
	if err != nil || f.entries[0].lastReport().UsageFlushedSeq != 1 {
		t.Errorf("stop = %v, flushed = %d; want usage 1 reported as flushed", err, f.entries[0].lastReport().UsageFlushedSeq)
	}
}

// Guards against a request that crashes one upstream after another, and against counting one death twice.
func TestCrashSuspects(t *testing.T) {
	_, server := startEngine(t, func(s *engine.Settings) { s.CrashMarker = "route?" })
	f := startAgent(t, server.URL, engineKind, nil)
	_, err := f.chat("r1", 1, false)
	wantRefusal(t, err, outcome.KindUpstreamFailed, outcome.MayHaveRun)
	f.suspects.recordDeath("fp-r1", 100, time.Now())
	f.eventually("suspect in the report", func() bool {
		got := f.entries[0].lastReport().Suspects
		return len(got) == 1 && got[0].Fingerprint == "fp-r1" && got[0].Deaths == 1
	})
	_, err = f.chat("r1", 1, false)
	wantRefusal(t, err, outcome.KindQuarantined, outcome.NotRun)
	if f.suspects.check("fp-r1", true, time.Now()) != nil {
		t.Error("a suspect of one death is refused although it runs alone")
	}
	f.suspects.recordDeath("fp-r1", 101, time.Now())
	if f.suspects.check("fp-r1", true, time.Now()) == nil {
		t.Error("a suspect of two deaths is admitted")
	}
}

// Guards against an upstream that keeps generating after the caller disconnected, before or during the response.
func TestCallerDisconnectCancelsUpstream(t *testing.T) {
	_, server := startEngine(t, func(s *engine.Settings) { s.TokensPerSecond = 20 })
	f := startAgent(t, server.URL, engineKind, nil)
	for _, stream := range []bool{true, false} {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			waitFor(func() bool { return f.engineRunning() == 1 })
			cancel()
		}()
		response, err := f.client.Do(ctx, f.call("r1", http.MethodPost, engineapi.PathChat, chatBody(4000, stream)))
		if err == nil {
			_, err = io.Copy(io.Discard, response)
			response.Close()
		}
		if err == nil {
			t.Errorf("stream %v: the whole response arrived", stream)
		}
		f.eventually("idle upstream", func() bool { return f.engineRunning() == 0 && f.load().Running == 0 })
	}
}

func (f *fixture) engineRunning() int {
	status, err := f.engine.probe(context.Background())
	if err != nil {
		return -1
	}
	return status.Running
}

// Guards against a credential that reaches the upstream, and against a trace context that is not propagated to it.
func TestCredentialsAreNotForwarded(t *testing.T) {
	_, server := startService(t)
	f := startAgent(t, server.URL, fleetconfig.UpstreamService, nil)
	c := f.call("r1", http.MethodGet, "/fares/a/b", nil)
	const traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	c.Header = http.Header{"Traceparent": {"00-" + traceID + "-00f067aa0ba902b7-01"}, "Authorization": {"Bearer s3cret"}, "X-Api-Key": {"s3cret"}, "Cookie": {"k=s3cret"}, "X-Any": {"s3cret"}}
	response, err := f.client.Do(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response)
	if err != nil || response.Status != http.StatusOK {
		t.Fatalf("response %d %s: %v", response.Status, body, err)
	}
	resp, err := http.Get(server.URL + "/admin/seen?text=s3cret")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if seen, _ := io.ReadAll(resp.Body); !bytes.Contains(seen, []byte("false")) {
		t.Errorf("the upstream saw the secret: %s", seen)
	}
	resp, err = http.Get(server.URL + "/admin/seen?text=" + traceID)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if seen, _ := io.ReadAll(resp.Body); !bytes.Contains(seen, []byte("true")) {
		t.Errorf("the upstream did not get the trace of the caller: %s", seen)
	}
}

// Guards against accepting requests or control calls without the shared credential.
func TestSharedCredentialIsRequired(t *testing.T) {
	s, server := startService(t)
	file := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(file, []byte("fleet\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	f := startAgent(t, server.URL, fleetconfig.UpstreamService, func(s *Settings) { s.CredentialFile = file })
	_, err := f.client.Do(t.Context(), f.call("r1", http.MethodGet, "/fares/a/b", nil))
	wantRefusal(t, err, outcome.KindUnauthorized, outcome.NotRun)
	if got := s.Executions().RequestIDs; len(got) != 0 {
		t.Errorf("executions = %v; want none", got)
	}
	control := rpc.NewAgentControlProtobufClient("http://"+f.addresses.Control, http.DefaultClient)
	if _, err := control.Drain(t.Context(), &rpc.DrainRequest{}); err == nil || f.readiness() != nil {
		t.Errorf("drain without the credential: %v, readiness %v; want it refused", err, f.readiness())
	}
	trusted := dataplane.NewClient(nil, "fleet")
	defer trusted.Close()
	if _, err := trusted.Do(t.Context(), f.call("r2", http.MethodGet, "/fares/a/b", nil)); err != nil {
		t.Errorf("a request with the credential: %v", err)
	}
}

// Guards against a malformed request that breaks a port, or does not get a 4xx response.
func TestMalformedRequests(t *testing.T) {
	_, server := startService(t)
	f := startAgent(t, server.URL, fleetconfig.UpstreamService, nil)
	for _, address := range []string{f.addresses.Data, f.addresses.Control, f.addresses.Status} {
		for _, raw := range []string{
			"\x00\x01garbage\r\n\r\n", "POST /v1/run HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx",
			"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", "POST /v1/run HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
			"POST /twirp/radishshelf.v1.AgentControl/Drain HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 1\r\n\r\n{",
		} {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			conn.SetDeadline(time.Now().Add(testTimeout))
			conn.Write([]byte(raw))
			head := make([]byte, 12)
			if _, err := io.ReadFull(conn, head); err != nil || string(head[:10]) != "HTTP/1.1 4" {
				t.Errorf("%s: %q answered %q, %v; want a 4xx status", address, raw, head, err)
			}
			conn.Close()
		}
	}
	for _, target := range []string{"/admin/faults", "//x", "/a/../admin/faults", "relative", ""} {
		_, err := f.client.Do(t.Context(), f.call("r1", http.MethodPost, target, nil))
		wantRefusal(t, err, outcome.KindInvalid, outcome.NotRun)
	}
	if _, err := f.client.Do(t.Context(), f.call("r2", http.MethodGet, "/fares/a/b", nil)); err != nil {
		t.Errorf("a valid request after the malformed ones: %v", err)
	}
}
