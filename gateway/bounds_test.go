package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against sends that go on after their caller has disconnected, so that upstreams keep working for nobody.
func TestCallerDisconnectCancelsSends(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("p2", plainService, 4, nil)
	w.upstreams.hangs = func(*upstreamcall.Request) bool { return true }
	g := w.start("a")
	ctx, disconnect := context.WithCancel(t.Context())
	answered := make(chan error, 1)
	go func() {
		_, err := w.request(g, ctx, "/quote/1")
		answered <- err
	}()
	sends := func() int { return w.upstreams.requests(func(upstreamcall.Request) bool { return true }) }
	w.eventually("the request was sent", func() bool { return sends() > 0 })
	disconnect()
	disconnectedAt := time.Now()
	if err := <-answered; err == nil {
		t.Error("a response for a caller who has disconnected")
	}
	sent := sends()
	w.eventually("every send has ended", func() bool {
		w.upstreams.mu.Lock()
		defer w.upstreams.mu.Unlock()
		return w.upstreams.cancelled == sent
	})
	if took := time.Since(disconnectedAt); took > 500*time.Millisecond {
		t.Errorf("the sends ended %s after the caller disconnected", took)
	}
	time.Sleep(300 * time.Millisecond)
	if after := sends(); after != sent {
		t.Errorf("%d sends after the caller disconnected", after-sent)
	}
}

// Guards against more sends than the route allows, and against sends whose timeout exceeds the time that the caller has
// left.
func TestSendsStayWithinAttemptsAndDeadline(t *testing.T) {
	w := newTestCluster(t)
	for _, id := range []string{"p2", "p3", "p4", "p5"} {
		w.addUpstream(id, plainService, 4, nil)
	}
	g := w.start("a")
	const delay = 100 * time.Millisecond
	w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) {
		time.Sleep(delay)
		return nil, mayHaveRun(upstreamcall.Broken)
	})
	if _, err := w.request(g, t.Context(), "/quote/1"); err == nil {
		t.Fatal("a response although every send failed")
	}
	w.upstreams.mu.Lock()
	defer w.upstreams.mu.Unlock()
	if n := len(w.upstreams.sent); n != 3 {
		t.Errorf("%d sends, the route allows 3", n)
	}
	left := 2 * time.Second // the timeout of the caller
	for i, r := range w.upstreams.sent {
		if r.TimeLeft <= 0 || r.TimeLeft > left {
			t.Errorf("send %d has a timeout of %s, but %s are left", i, r.TimeLeft, left)
		}
		left = r.TimeLeft
	}
}

// Guards against a process that returns to an older configuration or model version, and against a malformed
// configuration row that replaces the one in force.
func TestConfigurationNeverReverts(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	version := func() (int64, int64) {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.config.Version, g.latestVersions[testModel]
	}
	w.store.Put("operators", "config", testConfig(5))
	w.store.Put("operators", "version/"+testModel, []byte(`{"Model":"fares","Version":7}`))
	w.eventually("both are in force", func() bool { c, n := version(); return c == 5 && n == 7 })
	w.store.Put("operators", "config", testConfig(4))
	w.store.Put("operators", "version/"+testModel, []byte(`{"Model":"fares","Version":6}`))
	w.store.Put("operators", "config", []byte("broken"))
	time.Sleep(5 * watchInterval)
	if c, n := version(); c != 5 || n != 7 {
		t.Errorf("configuration %d and version %d in force, want 5 and 7", c, n)
	}
}
