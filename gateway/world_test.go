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
	"github.com/radishshelf/radishshelf/upstreams"
)

// Names of the test world.
const (
	testHost      = "api.example"
	testKey       = "key-1"
	testModel     = "fares"
	engineService = "engines"
	plainService  = "desk"
)

// testCluster is a store, some upstreams and some gateways.
type testCluster struct {
	t         *testing.T
	store     *storerows.Store
	upstreams *fakeUpstreams
	duties    *fakeDuties
	cancels   map[string]func()
	// wall is the time of day of the hosts; nil takes that of the test.
	wall func() time.Time
	// suspects bounds the memory of requests under which upstreams ended.
	suspects quarantine.LedgerConfig
}

func newTestCluster(t *testing.T) *testCluster {
	w := &testCluster{t: t, store: storerows.New(), upstreams: newFakeUpstreams(), duties: &fakeDuties{}, cancels: map[string]func(){}}
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
	value, err := json.Marshal(upstreams.Entry{
		ID: id, Service: service, Address: id, DataCentre: "north-1", Slots: slots, State: upstreams.Ready, Versions: versions,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("upstreams", id, value)
}

// start runs a gateway until kill or the end of the test.
func (w *testCluster) start(host string) *Gateway { return w.startWithCores(host, 0.8) }

// startWithCores runs a gateway that gets a part of a core.
func (w *testCluster) startWithCores(host string, processor float64) *Gateway {
	return w.startWithRows(host, processor, w.store)
}

// startWithRows runs a gateway that reaches the store in a way of its own.
func (w *testCluster) startWithRows(host string, processor float64, rows hosting.Rows) *Gateway {
	g := New(Options{
		Host: host, Incarnation: fmt.Sprint(time.Now().UnixNano()), DataCentre: "north-1",
		RegionOf: map[string]string{"north-1": "north"}, PeerAddress: host, MaxRowBytes: 64 << 10, UsageDuty: true, Processor: processor,
		Timing: Timing{
			Lease: 3 * time.Second, Grace: 8 * time.Second, UsageWindow: 5 * time.Second, UsageLate: 10 * time.Second,
			BatchLifetime: 2 * time.Minute, Settle: time.Second, CancelApply: 3 * time.Second,
		},
		WallClock: w.wall, Suspects: w.suspects, Rows: rows, Upstreams: w.upstreams, Duties: w.duties, Codec: testCodec{}, Log: zerolog.New(logWriter{w.t}),
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
	w.cancels[host] = kill
	w.t.Cleanup(kill)
	w.eventually("the gateway is ready", func() bool { return g.Ready() == nil })
	return g
}

// kill ends a gateway without any farewell.
func (w *testCluster) kill(host string) { w.cancels[host]() }

func (w *testCluster) eventually(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("not within 20 s: %s", what)
}

// submit hands in a job of items with the given ids.
func (w *testCluster) submit(g *Gateway, id string, items ...batch.Item) (*call.Answer, error) {
	body, err := json.Marshal(batch.Spec{Model: testModel, MinVersion: 1, Items: items})
	if err != nil {
		w.t.Fatal(err)
	}
	return g.Handle(w.t.Context(), &call.Request{
		ID: id, Host: testHost, Method: http.MethodPost, Path: "/rollout/" + id, Target: "/rollout/" + id, Body: body,
		Key: testKey, Received: time.Now(), Patience: 5 * time.Second,
	})
}

func (w *testCluster) mustSubmit(g *Gateway, id string, items ...batch.Item) {
	w.t.Helper()
	if answer, err := w.submit(g, id, items...); err != nil || answer.Status != http.StatusAccepted {
		w.t.Fatalf("job %s: %+v, %v", id, answer, err)
	}
}

// readAll reads every result of a job.
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

// checkExactlyOnce fails unless every item stands once among the results.
func (w *testCluster) checkExactlyOnce(results []batch.Result, items []batch.Item) {
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
