package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
	"github.com/radishshelf/radishshelf/versionplan"
)

// testCodec decodes the types of this project from JSON.
type testCodec struct{}

func (testCodec) OperatorTable() string          { return "operators" }
func (testCodec) UpstreamTable() string          { return "upstreams" }
func (testCodec) IsConfig(key string) bool       { return key == "config" }
func (testCodec) IsModelVersion(key string) bool { return strings.HasPrefix(key, "version/") }
func (testCodec) EvacuatedDataCentre(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuate/")
}
func (testCodec) DecodeBatch(body []byte) (s batch.Spec, err error) {
	return s, json.Unmarshal(body, &s)
}

// testSettings is the content of a configuration row: a version alone, or with the regions of routes and of the workspace.
type testSettings struct {
	Version       int64
	RouteHomes    map[string][]string
	WorkspaceHome []string
	// Gone routes are left out.
	Gone []string
}

func (s testSettings) row() []byte {
	value, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return value
}

func (testCodec) DecodeConfig(value []byte) (*serving.Config, error) {
	var s testSettings
	if json.Unmarshal(value, &s.Version) != nil {
		if err := json.Unmarshal(value, &s); err != nil {
			return nil, err
		}
	}
	routes := append(lateRoutes(s.Version), testRoutes()...)
	for _, r := range routes {
		r.Homes = homes.Only(s.RouteHomes[r.Name]...)
	}
	return serving.Builder{
		Version:  s.Version,
		Routes:   slices.DeleteFunc(routes, func(r *serving.Route) bool { return slices.Contains(s.Gone, r.Name) }),
		Services: []*serving.Service{{Name: engineService, Models: []string{testModel}}, {Name: plainService}},
		Workspaces: []serving.WorkspaceKeys{{
			Workspace: serving.Workspace{Name: "north", Homes: homes.Only(s.WorkspaceHome...)}, Keys: []string{testKey},
		}},
	}.Build(), nil
}

func testRoutes() []*serving.Route {
	return []*serving.Route{
		{
			Name: "rollout", Host: testHost, PathPrefix: "/rollout/", Kind: serving.Rollout, MaxAttempts: 3,
			Targets: []serving.Target{{Service: engineService, Weight: 1}}, Due: 5 * time.Second, ItemLifetime: 20 * time.Second,
		},
		{
			Name: "quote", Host: testHost, PathPrefix: "/quote/", Kind: serving.Idempotent, MaxAttempts: 3,
			Targets: []serving.Target{{Service: plainService, Weight: 1}}, TargetLatency: 200 * time.Millisecond,
			Timeout: 3 * time.Second,
		},
		{
			Name: "bill", Host: testHost, PathPrefix: "/bill/", Kind: serving.NonIdempotent, MaxAttempts: 3,
			Targets: []serving.Target{{Service: plainService, Weight: 1}}, TargetLatency: 200 * time.Millisecond,
			Timeout: 3 * time.Second,
		},
		{
			Name: "chat", Host: testHost, PathPrefix: "/chat/", Kind: serving.NonIdempotent, MaxAttempts: 5, Streaming: true,
			Resumable: true, Targets: []serving.Target{{Service: engineService, Weight: 1}},
			TargetLatency: time.Second, Timeout: 10 * time.Second,
		},
		{
			Name: "score", Host: testHost, PathPrefix: "/score/", Kind: serving.Idempotent, MaxAttempts: 4, Public: true,
			Targets: []serving.Target{{Service: plainService, Weight: 1}},
		},
	}
}

// lateVersion is the configuration that adds a route for batch jobs with other limits than the defaults.
const lateVersion = 100

func lateRoutes(version int64) []*serving.Route {
	if version < lateVersion {
		return nil
	}
	return []*serving.Route{{
		Name: "late", Host: testHost, PathPrefix: "/late/", Kind: serving.Rollout, MaxAttempts: 5, SingleVersion: true,
		Targets: []serving.Target{{Service: engineService, Weight: 1}}, Due: 5 * time.Second, ItemLifetime: 20 * time.Second,
	}}
}

func (testCodec) DecodeModelVersion(key string, value []byte) (n versionplan.ModelVersion, err error) {
	return n, json.Unmarshal(value, &n)
}

// panicInput is the content of a row or an event on which the codec panics.
const panicInput = "poison"

func (testCodec) DecodeUpstream(id string, value []byte) (e upstreams.Entry, err error) {
	if string(value) == panicInput {
		panic("the codec panics on this input")
	}
	return e, json.Unmarshal(value, &e)
}

func (testCodec) ItemHeader(map[string]string) http.Header { return http.Header{} }

// Events reads one JSON event a line.
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
	if e.Data == panicInput {
		panic("the codec panics on this input")
	}
	if e.Version == 0 {
		e.Version = l.version
	}
	return e, err
}

// fakeUpstreams answers requests with a scripted function.
type fakeUpstreams struct {
	mu sync.Mutex
	// respond returns the response to a request. If it returns nil or is nil, engines send three events, and plain
	// upstreams a signed body.
	respond func(r *upstreamcall.Request) (*upstreamcall.Response, error)
	// hangs selects requests that get no response until their context ends. cancelled counts them.
	hangs     func(r *upstreamcall.Request) bool
	cancelled int
	sent      []upstreamcall.Request
	orders    []upstreamcall.VersionOrder
	// limits holds the requests a second that upstreams name in every response, and sends every request, report and order.
	limits map[string]float64
	sends  []fakeSend
	// ended holds the upstreams whose process has ended, so that nothing listens at their address.
	ended map[string]bool
	// memoryTokens is the memory that every upstream reports; 0 if none does.
	memoryTokens int
}

func newFakeUpstreams() *fakeUpstreams {
	return &fakeUpstreams{ended: map[string]bool{}, limits: map[string]float64{}}
}

// endUpstream makes Dial of an upstream fail as if its process had ended.
func (f *fakeUpstreams) endUpstream(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended[id] = true
}

func (f *fakeUpstreams) Dial(_ context.Context, u upstreams.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended[u.ID] {
		return notRun(upstreamcall.NoListener)
	}
	return nil
}

func (f *fakeUpstreams) script(respond func(r *upstreamcall.Request) (*upstreamcall.Response, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.respond = respond
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

func (f *fakeUpstreams) Send(ctx context.Context, r *upstreamcall.Request) (*upstreamcall.Response, error) {
	f.mu.Lock()
	f.sent = append(f.sent, *r)
	respond, hangs := f.respond, f.hangs
	f.mu.Unlock()
	if hangs != nil && hangs(r) {
		<-ctx.Done()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cancelled++
		return nil, &upstreamcall.Failure{Reason: upstreamcall.Cancelled, Outcome: outcome.MayHaveRun, Err: ctx.Err()}
	}
	if respond != nil {
		if a, err := respond(r); a != nil || err != nil {
			return closeOnCancel(ctx, a), err
		}
	}
	if r.Upstream.Service == plainService {
		return signed(http.StatusOK, "done"), nil
	}
	return stream(r.ResumeAfter+1, 3, true), nil
}

// closeOnCancel closes the body of a response when the context of the request ends, as a connection would.
func closeOnCancel(ctx context.Context, a *upstreamcall.Response) *upstreamcall.Response {
	if a == nil {
		return nil
	}
	body := &contextBody{ctx: ctx, body: a.Body}
	context.AfterFunc(ctx, func() { body.body.Close() })
	a.Body = body
	return a
}

// contextBody is a body that cannot be read after the context of its request has ended.
type contextBody struct {
	ctx  context.Context
	body io.ReadCloser
}

func (b *contextBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.body.Read(p)
}

func (b *contextBody) Close() error { return b.body.Close() }

func (f *fakeUpstreams) Order(
	_ context.Context, _ upstreams.Entry, o upstreamcall.VersionOrder,
) (upstreamcall.OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return upstreamcall.OrderAccepted, nil
}

func (f *fakeUpstreams) Report(context.Context, upstreams.Entry) (upstreamcall.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return upstreamcall.Report{Versions: map[string]int64{}, MemoryTokens: f.memoryTokens}, nil
}

func signed(status int, body string) *upstreamcall.Response {
	return &upstreamcall.Response{
		Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Length: int64(len(body)),
		Signed: true, Signature: "signature", Framed: true,
	}
}

// stream returns a response with the events from..to. Unless whole is set, the connection breaks after them.
func stream(from, to int, whole bool) *upstreamcall.Response {
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

// fakeDuties records the usage reports of the duty holder.
type fakeDuties struct {
	mu      sync.Mutex
	reports []usageReport
	// silent makes every call hang until its context ends.
	silent bool
	// rejects returns the error for the report of a window, nil to accept it; nil accepts every report.
	rejects func(window int64) error
}

type usageReport struct {
	holder       string
	term, window int64
	counts       map[string]int64
}

func (f *fakeDuties) ReportUsage(ctx context.Context, holder string, term, window int64, counts map[string]int64) error {
	f.mu.Lock()
	silent := f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rejects != nil {
		if err := f.rejects(window); err != nil {
			return err
		}
	}
	f.reports = append(f.reports, usageReport{holder, term, window, counts})
	return nil
}

func (f *fakeDuties) OrderUpstreams(context.Context, string, int64, string, string, int) error {
	return nil
}
