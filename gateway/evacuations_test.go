package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/evacuation"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// evacuate orders the evacuation of a data centre and waits until the gateways apply it.
func (w *testCluster) evacuate(dataCentre string, list ...*Gateway) {
	w.t.Helper()
	w.store.Put("operators", "evacuate/"+dataCentre, []byte("{}"))
	w.awaitEvacuation(dataCentre, true, list...)
}

func (w *testCluster) awaitEvacuation(dataCentre string, active bool, list ...*Gateway) {
	w.t.Helper()
	for _, g := range list {
		w.eventually(fmt.Sprintf("%s: evacuation of %s is %t", g.opts.Host, dataCentre, active), func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.evacuations.Evacuated(dataCentre) == active
		})
	}
}

// readChat sends a request for a stream and returns what the caller received.
func (w *testCluster) readChat(g *Gateway) string {
	w.t.Helper()
	r, err := w.request(g, w.t.Context(), "/chat/1")
	if err != nil {
		w.t.Fatal(err)
	}
	var body bytes.Buffer
	if err := r.Stream(&body, func() {}); err != nil {
		w.t.Errorf("stream: %v", err)
	}
	return body.String()
}

// Guards against each way in which a request or an order could be sent to an upstream whose data centre is evacuated. The
// evacuated upstreams are the nearest ones.
func TestEvacuationHoldsOnEveryPath(t *testing.T) {
	slow := func(d time.Duration) func(*upstreamcall.Request) (*upstreamcall.Response, error) {
		return respondAfter(d)
	}
	failFirst := func(a *upstreamcall.Response, err error) func(*upstreamcall.Request) (*upstreamcall.Response, error) {
		runs := 0
		return func(*upstreamcall.Request) (*upstreamcall.Response, error) {
			if runs++; runs == 1 {
				return a, err
			}
			return nil, nil
		}
	}
	plain := func(path string) func(*testCluster, *Gateway) {
		return func(w *testCluster, g *Gateway) {
			if _, err := w.request(g, w.t.Context(), path); err != nil {
				w.t.Error(err)
			}
		}
	}
	job := func(score bool) func(*testCluster, *Gateway) {
		return func(w *testCluster, g *Gateway) {
			items := testItems(6)
			for i := range items {
				if score {
					items[i].Score = &batch.ScoreCall{ID: fmt.Sprint("s", i), Host: testHost, Path: "/score/x"}
				}
			}
			w.mustSubmit(g, "job-1", items...)
			w.checkExactlyOnce(w.readAll(g, "job-1"), items)
		}
	}
	for name, c := range map[string]struct {
		script func(*upstreamcall.Request) (*upstreamcall.Response, error)
		run    func(*testCluster, *Gateway)
	}{
		"plain request":  {nil, plain("/quote/1")},
		"hedge":          {slow(300 * time.Millisecond), plain("/quote/1")},
		"repeat":         {failFirst(nil, notRun(upstreamcall.Busy)), plain("/bill/1")},
		"stream":         {nil, func(w *testCluster, g *Gateway) { w.readChat(g) }},
		"resumed stream": {failFirst(stream(1, 1, false), nil), func(w *testCluster, g *Gateway) { w.readChat(g) }},
		"text":           {nil, job(false)},
		"score call":     {nil, job(true)},
		"weight order": {nil, func(w *testCluster, _ *Gateway) {
			from := time.Now()
			w.store.Put("operators", "version/"+testModel, []byte(`{"Model":"fares","Version":3}`))
			w.eventually("an order", func() bool { return w.upstreams.sendsTo("e2", from, time.Now()) > 1 })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHomesCluster(t, testSettings{Version: 2})
			g := w.start("a")
			w.evacuate("north-1", g)
			w.upstreams.script(c.script)
			from := time.Now()
			c.run(w, g)
			if n := w.upstreams.sendsTo("e1", from, time.Now()) + w.upstreams.sendsTo("p1", from, time.Now()); n > 0 {
				t.Errorf("%d requests reached the evacuated data centre", n)
			}
		})
	}
}

// Guards against a report, an order or a check of the connection that is sent to an evacuated data centre.
func TestControlCallsStopInAnEvacuatedDataCentre(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2})
	g := w.start("a")
	w.evacuate("north-1", g)
	g.mu.Lock()
	u, _ := g.upstreams.Get("e1")
	scaler := newUpstreamScaler(g)
	if _, ok := scaler.loads(engineService)["north-1"]; ok || len(scaler.loads(engineService)) != 1 {
		t.Errorf("upstreams would be ordered for %v", scaler.loads(engineService))
	}
	g.mu.Unlock()
	from := time.Now()
	if _, err := g.report(t.Context(), u); !errors.Is(err, errEvacuated) {
		t.Errorf("report: %v", err)
	}
	if _, err := g.order(t.Context(), u, upstreamcall.VersionOrder{}); !errors.Is(err, errEvacuated) {
		t.Errorf("order: %v", err)
	}
	if g.isResponsive(t.Context(), u) {
		t.Error("a silent run in the evacuated data centre counts as alive")
	}
	if n := w.upstreams.sendsTo("e1", from, time.Now()); n > 0 {
		t.Errorf("%d control calls were sent", n)
	}
}

// Guards against a host that starts and sends requests before it knows of an evacuation.
func TestEvacuationSurvivesARestart(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2})
	w.store.Put("operators", "evacuate/north-1", []byte("{}"))
	from := time.Now()
	g := w.start("a")
	items := testItems(8)
	w.mustSubmit(g, "job-1", items...)
	if _, err := w.request(g, t.Context(), "/quote/1"); err != nil {
		t.Error(err)
	}
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
	if n := w.upstreams.sendsTo("e1", from, time.Now()) + w.upstreams.sendsTo("p1", from, time.Now()); n > 0 {
		t.Errorf("%d requests reached the evacuated data centre", n)
	}
}

// Guards against a data centre that stays evacuated, or that is used again too early, after the changes of the operators'
// table were lost.
func TestWholeReadingOfTheOperatorsTable(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2})
	g := w.start("a")
	watch := g.operatorWatch()
	row := func(dataCentre string, version int64) hosting.StoredRow {
		return hosting.StoredRow{RowKey: hosting.RowKey{Table: "operators", Key: "evacuate/" + dataCentre}, Version: version}
	}
	for _, c := range []struct {
		version     int64
		rows        []hosting.StoredRow
		west, south bool
	}{
		{100, []hosting.StoredRow{row("west-1", 90)}, true, false},
		{110, []hosting.StoredRow{row("south-1", 105)}, false, true},
		{104, []hosting.StoredRow{row("west-1", 90)}, false, true}, // an older reading
	} {
		watch.readVersion = c.version
		watch.reset(c.rows)
		g.mu.Lock()
		west, south := g.evacuations.Evacuated("west-1"), g.evacuations.Evacuated("south-1")
		g.mu.Unlock()
		if west != c.west || south != c.south {
			t.Errorf("version %d: west %t, south %t; want %t, %t", c.version, west, south, c.west, c.south)
		}
	}
}

// Guards against an order that reaches only the hosts whose own watch works, in both directions.
func TestPeersPassEvacuationsOn(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2})
	watch := &silentOperatorWatch{Rows: w.store}
	a, b := w.start("a"), w.startWithRows("b", 0.8, watch)
	w.waitForPeers(a, b)
	watch.silent.Store(true)
	time.Sleep(100 * time.Millisecond) // the read in progress ends
	w.evacuate("north-1", a, b)
	w.eventually("a knows that b applies the order", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.evacuationHostsMissing() == 0
	})
	w.store.Delete("operators", "evacuate/north-1")
	w.awaitEvacuation("north-1", false, a, b)
}

// Guards against requests that wait for a limited upstream after its data centre was evacuated, and against their being sent
// there when their turn comes.
func TestEvacuationEndsTheWaitForALimit(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	w.waitForPeers(g)
	w.upstreams.setLimit("p1", 4)
	announceLimit(g, "p1", 4)
	const requests = 20
	results := make(chan error, requests)
	for range requests {
		go func() {
			_, err := g.Handle(t.Context(), &call.Request{
				ID: "attempt-2", Host: testHost, Method: http.MethodPost, Path: "/bill/1", Target: "/bill/1", Key: testKey,
				Received: time.Now(), Timeout: 3 * time.Second,
			})
			results <- err
		}()
	}
	w.eventually("requests wait", func() bool { g.mu.Lock(); defer g.mu.Unlock(); return g.limitQueueLen(plainService) > 0 })
	announceLimit(g, "p1", closedLimit)
	w.evacuate("north-1", g)
	from := time.Now()
	refused := 0
	for range requests {
		if err := <-results; err != nil && asRefusal(t, err).Kind == outcome.KindEvacuated {
			refused++
		}
	}
	if n := w.upstreams.sendsTo("p1", from, time.Now()); n > 0 || refused == 0 || time.Since(from) > 500*time.Millisecond {
		t.Errorf("%d sends after the order, %d refused for it, the last after %s", n, refused, time.Since(from))
	}
}

// Guards against work that is accepted and waits while all data centres that could serve it are evacuated.
func TestEvacuatedWorkIsRefused(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	w.evacuate("north-1", g)
	_, jobErr := w.submit(g, "job-1", testItems(2)...)
	_, plainErr := w.request(g, t.Context(), "/quote/1")
	_, streamErr := w.request(g, t.Context(), "/chat/1")
	for what, err := range map[string]error{"job": jobErr, "plain": plainErr, "stream": streamErr} {
		if r := asRefusal(t, err); r.Kind != outcome.KindEvacuated || r.Outcome != outcome.NotRun || r.RetryAfter <= 0 {
			t.Errorf("%s: %+v", what, r)
		}
	}
}

// Guards against a long text that keeps its upstream in an evacuated data centre, and against short ones that are read again
// elsewhere for little.
func TestLongTextsLeaveAnEvacuatedDataCentre(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2})
	g := w.start("a")
	w.evacuate("north-1", g)
	for _, c := range []struct {
		tokens  int
		version int64 // of a text that may have only one; e2 serves version 1
		moves   bool
	}{{500, 0, false}, {1500, 0, true}, {1500, 1, true}, {1500, 2, false}} {
		now := time.Now()
		g.mu.Lock()
		for range 40 {
			now = now.Add(5 * time.Millisecond)
			g.healthOf("e1").ObservePace(100*time.Millisecond, now)
			g.healthOf("e2").ObservePace(100*time.Millisecond, now)
		}
		spec := batch.Spec{ID: "job", Model: testModel, MinVersion: 1, Items: []batch.Item{{ID: "i", Tokens: 2000, LengthHint: c.tokens}}}
		job := batch.NewJob(spec, batch.Record{Host: testHost, PathPrefix: "/rollout/", Total: 1}, batch.Limits{Rate: &batch.TokenRate{}, SingleVersion: true})
		if c.version > 0 {
			job.Items()[0].Text.Append(1, "event", c.version)
		}
		job.Start(job.Items()[0])
		u, _ := g.upstreams.Get("e1")
		if moves := newSchedulePass(g, now).reserveMove(movableRun{job: job, item: job.Items()[0], run: &itemRun{upstream: u, started: now}}); moves != c.moves {
			t.Errorf("a text of %d tokens and version %d moves: %t", c.tokens, c.version, moves)
		}
		g.mu.Unlock()
	}
}

// Guards against the load of all hosts going back at once to upstreams that were out of use.
func TestLoadReturnsGradually(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2})
	g := w.start("a")
	w.evacuate("north-1", g)
	w.store.Delete("operators", "evacuate/north-1")
	w.awaitEvacuation("north-1", false, g)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for after, want := range map[time.Duration]string{0: "p2", 5 * time.Second: "p1"} {
		u, ok, _ := g.choosePlain(plainChoice{scope: sendScope{service: plainService}}, now.Add(after))
		if !ok || u.ID != want {
			t.Errorf("%s after the return, the nearest request goes to %s, want %s", after, u.ID, want)
		}
	}
	engine := upstreams.Entry{DataCentre: "north-1", Slots: 8}
	for after, want := range map[time.Duration]int{0: 1, 2500 * time.Millisecond: 4, 5 * time.Second: 8} {
		if got := g.usableEngineSlots(engine, now.Add(after)); got != want {
			t.Errorf("%s after the return: %d slots, want %d", after, got, want)
		}
	}
	if len(g.evacuations.Report(now)) != 1 || (evacuation.Missing(evacuation.Order{DataCentre: "x", Version: 1}, nil)) != nil {
		t.Error("the end of the evacuation is not reported")
	}
}
