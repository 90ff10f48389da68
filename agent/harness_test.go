package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/standin/engine"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
)

const testTimeout = 5 * time.Second

// fakeEntry replies to heartbeats with a wanted state and keeps the last report.
type fakeEntry struct {
	rpc.Peer
	name string

	mu     sync.Mutex
	wanted *rpc.WantedState
	last   *rpc.HeartbeatRequest
}

func (f *fakeEntry) Heartbeat(_ context.Context, r *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = r
	return &rpc.HeartbeatResponse{Entry: f.name, Wanted: f.wanted}, nil
}

func (f *fakeEntry) setWanted(w *rpc.WantedState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wanted = w
}

func (f *fakeEntry) lastReport() *rpc.HeartbeatRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last == nil {
		return &rpc.HeartbeatRequest{}
	}
	return f.last
}

// memoryFlusher marks usage records as durable without storing them.
type memoryFlusher struct{ recorder *usage.Recorder }

func (f memoryFlusher) Flush(context.Context) error {
	if batch, ok := f.recorder.NextBatch(1000); ok {
		f.recorder.MarkFlushed(batch.LastSeq())
	}
	return nil
}

// fixture is a running agent with two entries.
type fixture struct {
	*Agent
	t       *testing.T
	entries []*fakeEntry
	client  *dataplane.Client
	stop    context.CancelFunc
	done    chan error
}

func startAgent(t *testing.T, upstreamURL, kind string, change func(*Settings)) *fixture {
	t.Helper()
	s := DefaultSettings()
	s.Name, s.DataCentre, s.Region, s.Serves = "agent-1", "sudur", "sudur", "planner"
	s.AgentAddress, s.ControlAddress, s.StatusAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.UpstreamURL, s.Kind = upstreamURL, kind
	s.HeartbeatInterval, s.ProbeInterval = settings.Duration(20*time.Millisecond), settings.Duration(20*time.Millisecond)
	f := &fixture{t: t, done: make(chan error, 1)}
	for _, name := range []string{"entry-1", "entry-2"} {
		entry := &fakeEntry{name: name}
		server := httptest.NewServer(rpc.NewPeerServer(entry))
		t.Cleanup(server.Close)
		f.entries = append(f.entries, entry)
		s.Entries = append(s.Entries, strings.TrimPrefix(server.URL, "http://"))
	}
	if change != nil {
		change(&s)
	}
	recorder := usage.NewRecorder(s.Name, "run-1")
	a, err := New(s, Options{
		Logger: zerolog.Nop(), Registry: telemetry.NewRegistry(), Recorder: recorder,
		Flusher: memoryFlusher{recorder}, Incarnation: "run-1",
	})
	if err != nil {
		t.Fatal(err)
	}
	f.Agent = a
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() { f.done <- a.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-f.done
		f.done <- nil
	})
	f.client = dataplane.NewClient(nil, "")
	t.Cleanup(f.client.Close)
	f.eventually("a healthy report", func() bool { return f.entries[0].lastReport().Healthy })
	return f
}

func (f *fixture) eventually(condition string, ok func() bool) {
	f.t.Helper()
	if !waitFor(ok) {
		f.t.Fatalf("no %s within %s", condition, testTimeout)
	}
}

func waitFor(ok func() bool) bool {
	for deadline := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

func (f *fixture) call(id, method, target string, body []byte) dataplane.Call {
	return dataplane.Call{
		Address: f.entries[0].lastReport().DataAddress, RequestID: id, Attempt: 1, Workspace: "ws", Policy: "planner",
		Timeout: testTimeout, Method: method, Target: target, Sample: true, Fingerprint: "fp-" + id, Body: body,
	}
}

// chat runs one completion and returns its result, or the error of the call or of reading the body.
func (f *fixture) chat(id string, tokens int, stream bool) (dataplane.Result, error) {
	f.t.Helper()
	response, err := f.client.Do(context.Background(), f.call(id, http.MethodPost, engineapi.PathChat, chatBody(tokens, stream)))
	if err != nil {
		return dataplane.Result{}, err
	}
	defer response.Close()
	if _, err := io.Copy(io.Discard, response); err != nil {
		return dataplane.Result{}, err
	}
	result, ok := response.Result()
	if !ok {
		f.t.Fatal("a complete response has no result trailer")
	}
	return result, nil
}

// post sends a call without dataplane.Client and reads the whole response.
func (f *fixture) post(target string, body []byte) *http.Response {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.addresses.Data+dataplane.RunPath, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set(dataplane.HeaderRequestID, "r1")
	req.Header.Set(dataplane.HeaderMethod, http.MethodGet)
	req.Header.Set(dataplane.HeaderTarget, target)
	req.Header.Set(dataplane.HeaderTimeout, "5000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		f.t.Fatal(err)
	}
	return resp
}

func chatBody(tokens int, stream bool) []byte {
	body, _ := json.Marshal(engineapi.ChatRequest{
		Model: "planner", MaxTokens: tokens, Stream: stream, Messages: []engineapi.Message{{Role: "user", Content: "route?"}},
	})
	return body
}

// startEngine serves a stand-in engine. When the engine exits, all its connections break, as when a process ends.
func startEngine(t *testing.T, change func(*engine.Settings)) (*engine.Engine, *httptest.Server) {
	t.Helper()
	s := engine.Defaults()
	s.Policy, s.StartCount = "planner", 100
	if change != nil {
		change(&s)
	}
	var server *httptest.Server
	e := engine.New(s, engine.Options{Logger: zerolog.Nop(), Exit: func(int) {
		server.Listener.Close()
		server.CloseClientConnections()
	}})
	server = httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, server
}

func postJSON(t *testing.T, url string, value any) int {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// waitForVersion waits until a probe has returned the active version.
func (f *fixture) waitForVersion() {
	f.t.Helper()
	f.eventually("known version", func() bool { return f.versions.discardReason() == "" })
}

const engineKind = fleetconfig.UpstreamEngine
