package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/standin/rows"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
	"github.com/radishshelf/radishshelf/versionplan"
)

// Names of the test world.
const (
	testHost   = "api.example"
	testKey    = "key-1"
	testModel  = "fares"
	engineName = "engines"
	plainName  = "desk"
)

// world is a store, some upstreams and some gateways.
type world struct {
	t       *testing.T
	store   *rows.Store
	engine  *fakeUpstreams
	duties  *fakeDuties
	cancels map[string]func()
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: rows.New(), engine: newFakeUpstreams(), duties: &fakeDuties{}, cancels: map[string]func(){}}
	w.store.Put("operators", "config", testConfig(1))
	w.addUpstream("e1", engineName, 4, map[string]int64{testModel: 1})
	w.addUpstream("p1", plainName, 4, nil)
	return w
}

func testConfig(version int64) []byte {
	value, err := json.Marshal(version)
	if err != nil {
		panic(err)
	}
	return value
}

func (w *world) addUpstream(id, service string, slots int, versions map[string]int64) {
	value, err := json.Marshal(upstreams.Entry{
		ID: id, Service: service, Address: id, DataCentre: "north-1", Slots: slots, State: upstreams.Ready, Versions: versions,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("upstreams", id, value)
}

// start runs a gateway until kill or the end of the test.
func (w *world) start(host string) *Gateway {
	g := New(Options{
		Host: host, Incarnation: fmt.Sprint(time.Now().UnixNano()), DataCentre: "north-1",
		RegionOf: map[string]string{"north-1": "north"}, PeerAddress: host, RowBytes: 64 << 10, UsageDuty: true,
		Timing: Timing{
			Lease: 3 * time.Second, Grace: 8 * time.Second, UsageWindow: 5 * time.Second, UsageLate: 10 * time.Second,
			BatchLifetime: 2 * time.Minute, Settle: time.Second,
		},
		Rows: w.store, Upstreams: w.engine, Duties: w.duties, Codec: testCodec{}, Log: zerolog.New(logWriter{w.t}),
		Registry: telemetry.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		g.Run(ctx)
		close(done)
	}()
	kill := sync.OnceFunc(func() {
		cancel()
		g.stopWork()
		<-done
		g.ownedWG.Wait()
	})
	w.cancels[host] = kill
	w.t.Cleanup(kill)
	w.eventually("the gateway is ready", func() bool { return g.Ready() == nil })
	return g
}

// kill ends a gateway without any farewell.
func (w *world) kill(host string) { w.cancels[host]() }

func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("not within 20 s: %s", what)
}

// submit hands in a job of items with the given ids.
func (w *world) submit(g *Gateway, id string, items ...batch.Item) (*call.Answer, error) {
	body, err := json.Marshal(batch.Spec{Model: testModel, MinVersion: 1, Items: items})
	if err != nil {
		w.t.Fatal(err)
	}
	return g.Handle(w.t.Context(), &call.Request{
		ID: id, Host: testHost, Method: http.MethodPost, Path: "/rollout/" + id, Target: "/rollout/" + id, Body: body,
		Key: testKey, Received: time.Now(), Patience: 5 * time.Second,
	})
}

func (w *world) mustSubmit(g *Gateway, id string, items ...batch.Item) {
	w.t.Helper()
	if answer, err := w.submit(g, id, items...); err != nil || answer.Status != http.StatusAccepted {
		w.t.Fatalf("job %s: %+v, %v", id, answer, err)
	}
}

// readAll reads every result of a job.
func (w *world) readAll(g *Gateway, id string) []batch.Result {
	w.t.Helper()
	var all []batch.Result
	w.eventually("job "+id+" is complete", func() bool {
		page, err := g.Results(w.t.Context(), call.BatchRequest{
			ID: id, Host: testHost, Key: testKey, After: len(all), Wait: 50 * time.Millisecond,
		})
		if err != nil {
			return false
		}
		all = append(all, page.Results...)
		return len(all) >= page.Total
	})
	return all
}

// checkOnce fails unless every item stands once among the results.
func (w *world) checkOnce(results []batch.Result, items []batch.Item) {
	w.t.Helper()
	seen := map[string]int{}
	for _, r := range results {
		seen[r.ID]++
	}
	for _, i := range items {
		if seen[i.ID] != 1 {
			w.t.Errorf("item %s stands at %d positions", i.ID, seen[i.ID])
		}
	}
	if len(results) != len(items) {
		w.t.Errorf("%d results of %d items", len(results), len(items))
	}
}

func testItems(n int) []batch.Item {
	var items []batch.Item
	for i := range n {
		items = append(items, batch.Item{ID: fmt.Sprintf("item-%02d", i), Path: "/rollout/x", Group: fmt.Sprintf("g%d", i/4)})
	}
	return items
}

type logWriter struct{ t *testing.T }

// Write implements io.Writer.
func (l logWriter) Write(p []byte) (int, error) {
	if testing.Verbose() {
		fmt.Print(time.Now().Format("05.000 "), string(p))
	}
	return len(p), nil
}

// testCodec reads product types as JSON.
type testCodec struct{}

func (testCodec) OperatorTable() string          { return "operators" }
func (testCodec) UpstreamTable() string          { return "upstreams" }
func (testCodec) IsConfig(key string) bool       { return key == "config" }
func (testCodec) IsNamedVersion(key string) bool { return strings.HasPrefix(key, "version/") }
func (testCodec) DecodeBatch(body []byte) (s batch.Spec, err error) {
	return s, json.Unmarshal(body, &s)
}

func (testCodec) DecodeConfig(value []byte) (*serving.Config, error) {
	var version int64
	if err := json.Unmarshal(value, &version); err != nil {
		return nil, err
	}
	return serving.Builder{
		Version: version,
		Routes: []*serving.Route{
			{
				Name: "rollout", Host: testHost, PathPrefix: "/rollout/", Kind: serving.Rollout, MaxAttempts: 3,
				Targets: []serving.Target{{Service: engineName, Weight: 1}}, Due: 5 * time.Second, ItemLifetime: 20 * time.Second,
			},
			{
				Name: "quote", Host: testHost, PathPrefix: "/quote/", Kind: serving.Idempotent, MaxAttempts: 3,
				Targets: []serving.Target{{Service: plainName, Weight: 1}}, TargetLatency: 200 * time.Millisecond,
				Timeout: 3 * time.Second,
			},
			{
				Name: "bill", Host: testHost, PathPrefix: "/bill/", Kind: serving.NonIdempotent, MaxAttempts: 3,
				Targets: []serving.Target{{Service: plainName, Weight: 1}}, TargetLatency: 200 * time.Millisecond,
				Timeout: 3 * time.Second,
			},
			{
				Name: "score", Host: testHost, PathPrefix: "/score/", Kind: serving.Idempotent, MaxAttempts: 4, Public: true,
				Targets: []serving.Target{{Service: plainName, Weight: 1}},
			},
		},
		Services:   []*serving.Service{{Name: engineName, Models: []string{testModel}}, {Name: plainName}},
		Workspaces: []serving.WorkspaceKeys{{Workspace: serving.Workspace{Name: "north"}, Keys: []string{testKey}}},
	}.Build(), nil
}

func (testCodec) DecodeNamedVersion(key string, value []byte) (n versionplan.Named, err error) {
	return n, json.Unmarshal(value, &n)
}

func (testCodec) DecodeUpstream(id string, value []byte) (e upstreams.Entry, err error) {
	return e, json.Unmarshal(value, &e)
}

func (testCodec) ItemHeader(map[string]string) http.Header { return http.Header{} }

// Events reads one event a line: its data, or nothing after the last one.
func (testCodec) Events(r io.Reader, version int64) EventReader {
	return &lineReader{decoder: json.NewDecoder(r), version: version}
}

type lineReader struct {
	decoder *json.Decoder
	version int64
}

func (l *lineReader) Next() (upstreamcall.Event, error) {
	var e upstreamcall.Event
	err := l.decoder.Decode(&e)
	if e.Version == 0 {
		e.Version = l.version
	}
	return e, err
}

// fakeUpstreams answers requests as a script says.
type fakeUpstreams struct {
	mu sync.Mutex
	// answer decides the answer to a request; nil gives three events, or a signed body.
	answer func(r *upstreamcall.Request) (*upstreamcall.Answer, error)
	sent   []upstreamcall.Request
	orders []upstreamcall.VersionOrder
}

func newFakeUpstreams() *fakeUpstreams { return &fakeUpstreams{} }

func (f *fakeUpstreams) script(answer func(r *upstreamcall.Request) (*upstreamcall.Answer, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = answer
}

func (f *fakeUpstreams) requests(match func(upstreamcall.Request) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.sent {
		if match(r) {
			n++
		}
	}
	return n
}

func (f *fakeUpstreams) Send(ctx context.Context, r *upstreamcall.Request) (*upstreamcall.Answer, error) {
	f.mu.Lock()
	f.sent = append(f.sent, *r)
	answer := f.answer
	f.mu.Unlock()
	if answer != nil {
		if a, err := answer(r); a != nil || err != nil {
			return a, err
		}
	}
	if r.Upstream.Service == plainName {
		return signed(http.StatusOK, "done"), nil
	}
	return stream(r.ResumeAfter+1, 3, true), nil
}

func (f *fakeUpstreams) Order(
	_ context.Context, _ upstreams.Entry, o upstreamcall.VersionOrder,
) (upstreamcall.OrderAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return upstreamcall.OrderAccepted, nil
}

func (f *fakeUpstreams) Report(context.Context, upstreams.Entry) (upstreamcall.Report, error) {
	return upstreamcall.Report{Versions: map[string]int64{}}, nil
}

func signed(status int, body string) *upstreamcall.Answer {
	return &upstreamcall.Answer{
		Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Length: int64(len(body)),
		Signed: true, Signature: "signature", Framed: true,
	}
}

// stream answers with the events from..to, and breaks off afterwards unless whole.
func stream(from, to int, whole bool) *upstreamcall.Answer {
	var lines strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&lines, `{"ID":%d,"Data":"event %d"}`+"\n", id, id)
	}
	a := signed(http.StatusOK, "")
	a.Version = 1
	a.Body = io.NopCloser(strings.NewReader(lines.String()))
	if !whole {
		a.Body = io.NopCloser(io.MultiReader(strings.NewReader(lines.String()), brokenReader{}))
	}
	return a
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func notRun(reason upstreamcall.Reason) error {
	return &upstreamcall.Failure{Reason: reason, Outcome: outcome.NotRun}
}

func mayHaveRun(reason upstreamcall.Reason) error {
	return &upstreamcall.Failure{Reason: reason, Outcome: outcome.MayHaveRun}
}

// fakeDuties records the calls of duty holders.
type fakeDuties struct {
	mu      sync.Mutex
	reports []usageReport
}

type usageReport struct {
	holder       string
	term, window int64
	counts       map[string]int64
}

func (f *fakeDuties) ReportUsage(_ context.Context, holder string, term, window int64, counts map[string]int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, usageReport{holder, term, window, counts})
	return nil
}

func (f *fakeDuties) OrderUpstreams(context.Context, string, int64, string, string, int) error {
	return nil
}
