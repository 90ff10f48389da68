package gateway

import (
	"cmp"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/evacuation"
	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// newHomesCluster returns a cluster with an engine and a plain upstream in each of two regions. Both hosts of the first
// region rank before those of the second one by distance.
func newHomesCluster(t *testing.T, s testSettings) *testCluster {
	w := newTestCluster(t)
	w.store.Put("operators", "config", s.row())
	w.addUpstreamIn("south-1", "e2", engineService, 4, map[string]int64{testModel: 1})
	w.addUpstreamIn("south-1", "p2", plainService, 4, nil)
	return w
}

// sentTo returns the number of requests that were sent to an upstream.
func (w *testCluster) sentTo(id string) int {
	return w.upstreams.requests(func(r upstreamcall.Request) bool { return r.Upstream.ID == id })
}

// putConfig stores a configuration and waits until a gateway uses it.
func (w *testCluster) putConfig(g *Gateway, s testSettings) {
	w.t.Helper()
	w.store.Put("operators", "config", s.row())
	w.eventually("the configuration is in use", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.config != nil && g.config.Version >= s.Version
	})
}

// Guards against regions of a job that are wrong in any order of configuration, route, workspace and record.
func TestJobHomes(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	g.mu.Lock()
	defer g.mu.Unlock()
	north, south, both, none := homes.Only("north"), homes.Only("south"), homes.Only("north", "south"), homes.Only("north").And(homes.Only("west"))
	for _, c := range []struct {
		name   string
		config testSettings
		record batch.Record
		want   homes.Regions
	}{
		{"nothing restricts the job", testSettings{Version: 2}, batch.Record{}, homes.Regions{}},
		{"the route", testSettings{Version: 2, RouteHomes: map[string][]string{"rollout": {"south"}}}, batch.Record{}, south},
		{"the workspace", testSettings{Version: 2, WorkspaceHome: []string{"south"}}, batch.Record{Workspace: "north"}, south},
		{"both bind", testSettings{Version: 2, RouteHomes: map[string][]string{"rollout": {"north", "south"}}, WorkspaceHome: []string{"south", "west"}},
			batch.Record{Workspace: "north"}, south},
		{"they have no region in common", testSettings{Version: 2, RouteHomes: map[string][]string{"rollout": {"north"}}, WorkspaceHome: []string{"west"}},
			batch.Record{Workspace: "north"}, none},
		{"a newer configuration", testSettings{Version: 3, RouteHomes: map[string][]string{"rollout": {"south"}}},
			batch.Record{ConfigVersion: 2, RouteHomes: north}, south},
		{"the restriction was lifted", testSettings{Version: 3}, batch.Record{ConfigVersion: 2, RouteHomes: north, Workspace: "north", WorkspaceHomes: north}, homes.Regions{}},
		{"the configuration is older than the job", testSettings{Version: 1, RouteHomes: map[string][]string{"rollout": {"south"}}},
			batch.Record{ConfigVersion: 2, RouteHomes: both, WorkspaceHomes: north}, north},
		{"the route was removed", testSettings{Version: 3, Gone: []string{"rollout"}, WorkspaceHome: []string{"south"}},
			batch.Record{ConfigVersion: 2, RouteHomes: both, Workspace: "north", WorkspaceHomes: north}, south},
		{"a route of another kind covers the path", testSettings{Version: 3, RouteHomes: map[string][]string{"quote": {"west"}}},
			batch.Record{ConfigVersion: 2, PathPrefix: "/quote/", RouteHomes: south}, south},
		{"the workspace was removed", testSettings{Version: 3, RouteHomes: map[string][]string{"rollout": {"north", "south"}}},
			batch.Record{ConfigVersion: 2, Workspace: "former", WorkspaceHomes: south}, south},
	} {
		config, err := testCodec{}.DecodeConfig(c.config.row())
		if err != nil {
			t.Fatal(err)
		}
		g.config, c.record.Host, c.record.PathPrefix = config, testHost, cmp.Or(c.record.PathPrefix, "/rollout/")
		if got := g.jobHomes(&c.record); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got.List(), c.want.List())
		}
	}
}

// Guards against a text that is made outside of the regions of its job's workspace.
func TestTextsStayInTheHomesOfTheWorkspace(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2, WorkspaceHome: []string{"south"}})
	g := w.start("a")
	items := testItems(12)
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
	if n := w.sentTo("e1"); n > 0 {
		t.Errorf("%d texts were sent outside of the workspace's regions", n)
	}
}

// Guards against a job that goes on by the regions that it had when it was accepted.
func TestNewHomesBindRunningJobs(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2, RouteHomes: map[string][]string{"rollout": {"north"}}})
	g := w.start("a")
	w.upstreams.script(respondAfter(100 * time.Millisecond))
	items := testItems(30)
	w.mustSubmit(g, "job-1", items...)
	w.eventually("items run", func() bool { return w.sentTo("e1") > 2 })
	w.putConfig(g, testSettings{Version: 3, RouteHomes: map[string][]string{"rollout": {"south"}}})
	before := w.sentTo("e1")
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
	if after := w.sentTo("e1"); after > before || w.sentTo("e2") == 0 {
		t.Errorf("%d texts were sent to the former region, %d to the new one", after-before, w.sentTo("e2"))
	}
}

// Guards against a slow text that is moved to a faster engine outside of its job's regions.
func TestMoveStaysHome(t *testing.T) {
	for _, c := range []struct {
		name    string
		version int64
		homes   []string
		moves   bool
	}{{"anywhere", 2, nil, true}, {"home only", 2, []string{"north"}, false}} {
		w := newHomesCluster(t, testSettings{Version: c.version, WorkspaceHome: c.homes})
		g := w.start("a")
		now := time.Now()
		g.mu.Lock()
		for range 40 {
			now = now.Add(5 * time.Millisecond)
			g.healthOf("e1").ObservePace(150*time.Millisecond, now)
			g.healthOf("e2").ObservePace(10*time.Millisecond, now)
		}
		job := batch.NewJob(batch.Spec{ID: "job", Model: testModel, MinVersion: 1, Items: []batch.Item{{ID: "i", Tokens: 2000, LengthHint: 900}}},
			batch.Record{Host: testHost, PathPrefix: "/rollout/", Workspace: "north", Total: 1}, batch.Limits{Rate: &batch.TokenRate{}})
		job.Start(job.Items()[0])
		u, _ := g.upstreams.Get("e1")
		run := movableRun{job: job, item: job.Items()[0], run: &itemRun{upstream: u, started: now}, slowFor: 2 * time.Second}
		if moves := newSchedulePass(g, now).reserveMove(run); moves != c.moves {
			t.Errorf("%s: moved is %t", c.name, moves)
		}
		g.mu.Unlock()
	}
}

// Guards against plain requests, streams and score calls outside of their regions.
func TestRequestsStayHome(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2, RouteHomes: map[string][]string{
		"quote": {"south"}, "chat": {"south"}, "score": {"south"},
	}})
	g := w.start("a")
	for range 5 {
		for _, path := range []string{"/quote/1", "/chat/1"} {
			if _, err := w.request(g, t.Context(), path); err != nil {
				t.Fatal(err)
			}
		}
	}
	items := testItems(4)
	for i := range items {
		items[i].Score = &batch.ScoreCall{ID: "s-" + items[i].ID, Host: testHost, Path: "/score/x"}
	}
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
	outside := w.upstreams.requests(func(r upstreamcall.Request) bool {
		return r.Upstream.DataCentre != "south-1" && r.Target != "/rollout/x"
	})
	if outside > 0 {
		t.Errorf("%d requests were sent outside of their regions", outside)
	}
}

// Guards against a request that is refused because chance picked the service of its route that has no upstream at home.
func TestSplitIsAmongServicesAtHome(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2})
	w.addUpstreamIn("west-1", "w1", "canary", 4, nil)
	g := w.start("a")
	w.eventually("the canary is known", func() bool { g.mu.Lock(); defer g.mu.Unlock(); return g.upstreams.Len() == 5 })
	route := &serving.Route{Targets: []serving.Target{{Service: plainService, Weight: 1}, {Service: "canary", Weight: 1}}}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range []struct {
		home  homes.Regions
		evac  string
		names []string
	}{
		{homes.Regions{}, "", []string{plainService, "canary"}},
		{homes.Only("north"), "", []string{plainService}},
		{homes.Only("west"), "", []string{"canary"}},
		{homes.Regions{}, "west-1", []string{plainService}},
		{homes.Only("west"), "west-1", []string{plainService, "canary"}}, // neither has an upstream: the request is refused
	} {
		if c.evac != "" {
			g.evacuations.Observe(evacuation.Order{DataCentre: c.evac, Version: 9, Active: true}, time.Now())
		}
		seen := map[string]bool{}
		for range 200 {
			name, ok := g.chooseService(route, c.home)
			seen[name] = ok
		}
		if len(seen) != len(c.names) || !seen[c.names[0]] {
			t.Errorf("homes %v, evacuated %q: services %v, want %v", c.home.List(), c.evac, seen, c.names)
		}
	}
}

// Guards against a job that stops running, in an outage of the store, because it should leave its host.
func TestJobStaysWhileItCannotBeHandedOver(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2, RouteHomes: map[string][]string{"rollout": {"north"}}})
	a, b := w.startIn("north-1", "a", 0.8, w.store), w.startIn("south-1", "b", 0.8, w.store)
	w.waitForPeers(a, b)
	w.upstreams.script(respondAfter(300 * time.Millisecond))
	w.mustSubmit(a, "job-1", testItems(40)...)
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.jobs["job-1"]
	e.record.AcceptedIn, e.record.ConfigVersion, e.record.RouteHomes = "", a.config.Version+1, homes.Only("south")
	a.heartbeatSeen = a.heartbeatStored
	now := a.heartbeatStoredAt
	if list := a.displacedJobs(now.Add(2 * heartbeatInterval)); len(list) > 0 {
		t.Error("the job leaves although the other host may be dead")
	}
	if list := a.displacedJobs(now); len(list) != 1 {
		t.Errorf("%d jobs leave, want 1", len(list))
	}
}

// Guards against a stream that resumes, and a request that is repeated, in the regions of a former configuration.
func TestNewHomesBindRequestsInProgress(t *testing.T) {
	for path, broken := range map[string]func() (*upstreamcall.Response, error){
		"/chat/1":  func() (*upstreamcall.Response, error) { return stream(1, 2, false), nil },
		"/quote/1": func() (*upstreamcall.Response, error) { return nil, mayHaveRun(upstreamcall.Broken) },
	} {
		w := newHomesCluster(t, testSettings{Version: 2, RouteHomes: map[string][]string{"chat": {"north"}, "quote": {"north"}}})
		g := w.start("a")
		var runs atomic.Int64
		w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) {
			if runs.Add(1) > 1 {
				return nil, nil
			}
			w.putConfig(g, testSettings{Version: 3, RouteHomes: map[string][]string{"chat": {"south"}, "quote": {"south"}}})
			return broken()
		})
		r, err := w.request(g, t.Context(), path)
		if err != nil {
			t.Fatal(err)
		}
		if r.Stream != nil {
			if err := r.Stream(io.Discard, func() {}); err != nil {
				t.Error(err)
			}
		}
		if former, now := w.sentTo("e1")+w.sentTo("p1"), w.sentTo("e2")+w.sentTo("p2"); former != 1 || now != 1 {
			t.Errorf("%s: sent %d times in the former region and %d times in the new one, want once in each", path, former, now)
		}
	}
}
