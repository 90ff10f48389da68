package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/connguard"
	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/prefixindex"
)

const (
	testSecret  = "secret-of-hraunvegur-0001"
	otherSecret = "secret-of-verband-0002"
)

// fakeConfig is a Config whose objects and freshness a test can change.
type fakeConfig struct {
	mu        sync.Mutex
	state     *fleetconfig.State
	revision  int64
	isolated  atomic.Bool
	listeners []func([]fleetconfig.Object)
}

func newFakeConfig() *fakeConfig {
	c := &fakeConfig{state: fleetconfig.NewState()}
	c.set(fleetconfig.KindWorkspace, "hraunvegur", fleetconfig.Workspace{})
	c.set(fleetconfig.KindWorkspace, "verband", fleetconfig.Workspace{Routes: []string{"fare"}, Policies: []string{"winch"}})
	c.set(fleetconfig.KindKey, "k1", fleetconfig.Key{SecretHash: fleetconfig.HashSecret(testSecret), Workspace: "hraunvegur"})
	c.set(fleetconfig.KindKey, "k2", fleetconfig.Key{SecretHash: fleetconfig.HashSecret(otherSecret), Workspace: "verband"})
	c.set(fleetconfig.KindPolicy, "toll", fleetconfig.Policy{Trainer: "coach"})
	c.set(fleetconfig.KindTrainer, "coach", fleetconfig.Trainer{Policy: "toll", MaxStaleness: 2, LotSamples: 4})
	c.set(fleetconfig.KindRoute, "fare", fleetconfig.Route{PathPrefix: "/fare", Service: "desk", Idempotent: true})
	c.set(fleetconfig.KindRoute, "open", fleetconfig.Route{PathPrefix: "/open", Service: "desk", Open: true, Idempotent: true})
	c.set(fleetconfig.KindRoute, "book", fleetconfig.Route{PathPrefix: "/book", Service: "desk"})
	return c
}

func (c *fakeConfig) set(kind fleetconfig.Kind, name string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	c.revision++
	changed := c.state.Apply([]fleetconfig.Object{{Kind: kind, Name: name, Revision: c.revision, Value: raw}})
	listeners := c.listeners
	c.mu.Unlock()
	for _, sub := range listeners {
		sub(changed)
	}
}

func (c *fakeConfig) View() *fleetconfig.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.View()
}

func (c *fakeConfig) MayServeKeyed(time.Time) bool { return !c.isolated.Load() }

func (c *fakeConfig) Subscribe(f func([]fleetconfig.Object)) { c.listeners = append(c.listeners, f) }

// fakeAgent is an agent with a handler that a test sets.
type fakeAgent struct {
	server   *httptest.Server
	mu       sync.Mutex
	received []string
	serve    func(w http.ResponseWriter, r *http.Request)
}

// newFakeAgent starts an agent. It records everything that it receives, so that a test can search for a secret.
func newFakeAgent(t *testing.T, serve func(w http.ResponseWriter, r *http.Request)) *fakeAgent {
	a := &fakeAgent{serve: serve}
	a.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		a.mu.Lock()
		a.received = append(a.received, fmt.Sprint(r.RequestURI, r.Header, r.Trailer, string(body)))
		a.mu.Unlock()
		w.Header().Set(dataplane.HeaderRequestID, r.Header.Get(dataplane.HeaderRequestID))
		a.serve(w, r)
	}))
	a.server.Config.ErrorLog = quietLog()
	t.Cleanup(a.server.Close)
	return a
}

func (a *fakeAgent) calls() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.received...)
}

// respond sends a complete response with its trailers.
func respond(w http.ResponseWriter, contentType, body string, result dataplane.Result) {
	w.Header().Set("Trailer", dataplane.TrailerComplete+", "+dataplane.TrailerResult)
	w.Header().Set("Content-Type", contentType)
	_, _ = io.WriteString(w, body)
	raw, _ := json.Marshal(result)
	w.Header().Set(dataplane.TrailerComplete, "true")
	w.Header().Set(dataplane.TrailerResult, string(raw))
}

func respondWithText(body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { respond(w, "application/json", body, dataplane.Result{}) }
}

const chatResponse = `{"choices":[{"message":{"content":"the fare is 90"}}]}`

// respondWithChat sends an engine response that may become a sample.
func respondWithChat(w http.ResponseWriter, _ *http.Request) {
	respond(w, "application/json", chatResponse, dataplane.Result{UsageSeq: 1, CompletionTokens: 4, Spans: []dataplane.Span{{Version: 7, Tokens: 4}}})
}

func respondWithRefusal(kind outcome.Kind, runOutcome outcome.Outcome) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(dataplane.HeaderRefusalKind, string(kind))
		w.Header().Set(dataplane.HeaderOutcome, runOutcome.String())
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// testEnv is an entry that listens on the loopback interface, with its dependencies.
type testEnv struct {
	t      *testing.T
	entry  *Entry
	config *fakeConfig
	fleet  *Fleet
	url    string
	server *httptest.Server
	seq    int64
}

func newTestEnv(t *testing.T, configure func(*Options)) *testEnv {
	settings := DefaultSettings()
	settings.DataCentre, settings.Region = "sudur", "sudur"
	config := newFakeConfig()
	options := Options{
		Settings: settings, Log: zerolog.Nop(), Config: config,
		Fleet: NewFleet("sudur", "sudur", rand.New(rand.NewSource(1))), Client: dataplane.NewClient(nil, ""),
		Random: rand.New(rand.NewSource(1)),
	}
	if configure != nil {
		configure(&options)
	}
	e := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewCallerServer(e, options.Settings, NewCallerGuard(options.Settings, func(connguard.Reason) {}))
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		e.Close()
	})
	return &testEnv{t: t, entry: e, config: options.Config.(*fakeConfig), fleet: options.Fleet, url: server.URL, server: server}
}

// addUpstream adds an agent to the fleet as a live upstream.
func (r *testEnv) addUpstream(name, kind, serves string, a *fakeAgent) {
	r.seq++
	r.fleet.ApplyHeartbeat(membership.Upstream{
		Name: name, DataAddress: a.server.Listener.Addr().String(), DataCentre: "sudur", Region: "sudur", Kind: kind,
		Serves: serves, Incarnation: "1", ReportSeq: r.seq, Healthy: true, ActiveVersion: 7,
		Load: dataplane.Load{Slots: 4},
	}, prefixindex.Event{Upstream: name, Incarnation: "1", Seq: r.seq}, nil, time.Now())
}

func (r *testEnv) addService(a *fakeAgent) {
	r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", a)
}

func (r *testEnv) addEngine(a *fakeAgent) {
	r.addUpstream("engine-1", fleetconfig.UpstreamEngine, "toll", a)
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// err is set if the response did not end cleanly.
	err     error
	refusal errorDetail
}

func (r *testEnv) do(method, path, key, body string, header ...string) callerResponse {
	req, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return r.send(req)
}

func (r *testEnv) send(req *http.Request) callerResponse {
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	out := callerResponse{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	var parsed errorBody
	if json.Unmarshal(data, &parsed) == nil {
		out.refusal = parsed.Error
	}
	return out
}

func (r callerResponse) wantRefusal(t *testing.T, kind outcome.Kind, runOutcome outcome.Outcome) {
	t.Helper()
	if r.refusal.Type != kind || r.refusal.Outcome != runOutcome.String() {
		t.Fatalf("got status %d body %q err %v, want refusal %s with %s", r.status, r.body, r.err, kind, runOutcome)
	}
	if r.header.Get(dataplane.HeaderOutcome) != runOutcome.String() || r.refusal.RequestID == "" || r.refusal.RequestID != r.header.Get(HeaderRequestID) {
		t.Fatalf("headers %v do not match the refusal %+v", r.header, r.refusal)
	}
}

func (r callerResponse) wantOK(t *testing.T, body string) {
	t.Helper()
	if r.err != nil || r.status != http.StatusOK || r.body != body {
		t.Fatalf("got status %d body %q err %v, want 200 with %q", r.status, r.body, r.err, body)
	}
}
