package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/quarantine"
	storerows "github.com/radishshelf/radishshelf/standin/rows"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Names in the test cluster.
const (
	testHost      = "api.example"
	testKey       = "key-1"
	testModel     = "fares"
	engineService = "engines"
	plainService  = "desk"
)

// testCluster is a store, some fake upstreams and some gateways.
type testCluster struct {
	t         *testing.T
	store     *storerows.Store
	upstreams *fakeUpstreams
	duties    *fakeDuties
	kills     map[string]func()
	// wall is the clock of the gateways; nil selects the system clock.
	wall func() time.Time
	// suspects configures the quarantine ledger of the gateways.
	suspects quarantine.LedgerConfig
}

func newTestCluster(t *testing.T) *testCluster {
	w := &testCluster{t: t, store: storerows.New(), upstreams: newFakeUpstreams(), duties: &fakeDuties{}, kills: map[string]func(){}}
	w.store.Put("operators", "config", testConfig(1))
	w.addUpstream("e1", engineService, 4, map[string]int64{testModel: 1})
	w.addUpstream("p1", plainService, 4, nil)
	return w
}

func testConfig(version int64) []byte {
	value, err := json.Marshal(version)
	if err != nil {
		panic(err)
	}
	return value
}

func (w *testCluster) addUpstream(id, service string, slots int, versions map[string]int64) {
	w.addUpstreamIn("north-1", id, service, slots, versions)
}

// addUpstreamIn adds an upstream in a data centre of testRegions.
func (w *testCluster) addUpstreamIn(dataCentre, id, service string, slots int, versions map[string]int64) {
	w.t.Helper()
	value, err := json.Marshal(upstreams.Entry{
		ID: id, Service: service, Address: id, DataCentre: dataCentre, Slots: slots, State: upstreams.Ready, Versions: versions,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("upstreams", id, value)
}

// start runs a gateway until kill or the end of the test, and waits until it is ready.
func (w *testCluster) start(host string) *Gateway { return w.startWithCPUShare(host, 0.8) }

// startWithCPUShare starts a gateway with the given share of the CPU, in cores.
func (w *testCluster) startWithCPUShare(host string, cpuShare float64) *Gateway {
	return w.startWithRows(host, cpuShare, w.store)
}

// startWithRows starts a gateway with its own access to the store.
func (w *testCluster) startWithRows(host string, cpuShare float64, rows hosting.Rows) *Gateway {
	return w.startIn("north-1", host, cpuShare, rows)
}

// testRegions maps the data centres of the test cluster to their regions.
var testRegions = map[string]string{"north-1": "north", "north-2": "north", "south-1": "south", "west-1": "west"}

// startIn starts a gateway in a data centre of testRegions with its own access to the store.
func (w *testCluster) startIn(dataCentre, host string, cpuShare float64, rows hosting.Rows) *Gateway {
	var g *Gateway
	caller := &announcingUpstreams{fakeUpstreams: w.upstreams, host: host, announce: func(u upstreams.Entry, a upstreamcall.Announcement) {
		g.UpstreamAnnounced(u, a)
	}}
	g = New(Options{
		Host: host, Incarnation: fmt.Sprint(time.Now().UnixNano()), DataCentre: dataCentre,
		RegionOf: testRegions, PeerAddress: host, MaxRowBytes: 64 << 10, UsageDuty: true, CPUShare: cpuShare,
		Timing: Timing{
			Lease: 3 * time.Second, Grace: 8 * time.Second, UsageWindow: 5 * time.Second, UsageLate: 10 * time.Second,
			BatchLifetime: 2 * time.Minute, Settle: time.Second, CancelApply: 3 * time.Second,
		},
		WallClock: w.wall, Suspects: w.suspects, Rows: rows, Upstreams: caller, Duties: w.duties, Codec: testCodec{}, Log: zerolog.New(logWriter{w.t}),
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
		g.workWG.Wait()
	})
	w.kills[host] = kill
	w.t.Cleanup(kill)
	w.eventually("the gateway is ready", func() bool { return g.Ready() == nil })
	return g
}

// kill stops a gateway without a graceful shutdown.
func (w *testCluster) kill(host string) { w.kills[host]() }

// eventually fails the test unless a condition holds within 20 s.
func (w *testCluster) eventually(condition string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("not within 20 s: %s", condition)
}

// submit submits a batch job with the given items.
func (w *testCluster) submit(g *Gateway, id string, items ...batch.Item) (*call.Response, error) {
	return w.submitTo(g, "/rollout/", id, items...)
}

// submitTo submits a batch job on the route with the given path prefix.
func (w *testCluster) submitTo(g *Gateway, prefix, id string, items ...batch.Item) (*call.Response, error) {
	body, err := json.Marshal(batch.Spec{Model: testModel, MinVersion: 1, Items: items})
	if err != nil {
		w.t.Fatal(err)
	}
	return g.Handle(w.t.Context(), &call.Request{
		ID: id, Host: testHost, Method: http.MethodPost, Path: prefix + id, Target: prefix + id, Body: body,
		Key: testKey, Received: time.Now(), Timeout: 5 * time.Second,
	})
}

func (w *testCluster) mustSubmit(g *Gateway, id string, items ...batch.Item) {
	w.t.Helper()
	if response, err := w.submit(g, id, items...); err != nil || response.Status != http.StatusAccepted {
		w.t.Fatalf("job %s: %+v, %v", id, response, err)
	}
}

// readAll waits until a job is complete and returns all its results in order.
func (w *testCluster) readAll(g *Gateway, id string) []batch.Result {
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

// checkExactlyOnce fails unless every item has exactly one result.
func (w *testCluster) checkExactlyOnce(results []batch.Result, items []batch.Item) {
	w.t.Helper()
	seen := map[string]int{}
	for _, r := range results {
		seen[r.ID]++
	}
	for _, i := range items {
		if seen[i.ID] != 1 {
			w.t.Errorf("item %s has %d results", i.ID, seen[i.ID])
		}
	}
	if len(results) != len(items) {
		w.t.Errorf("%d results for %d items", len(results), len(items))
	}
}

func testItems(n int) []batch.Item {
	var items []batch.Item
	for i := range n {
		items = append(items, batch.Item{ID: fmt.Sprintf("item-%02d", i), Path: "/rollout/x", Group: fmt.Sprintf("g%d", i/4)})
	}
	return items
}

// logWriter prints the log lines of the gateways in verbose test runs.
type logWriter struct{ t *testing.T }

func (l logWriter) Write(p []byte) (int, error) {
	if testing.Verbose() {
		fmt.Print(time.Now().Format("05.000 "), string(p))
	}
	return len(p), nil
}
