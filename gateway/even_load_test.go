package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/presence"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Guards against a host that gives a slow plain upstream as many requests as the others, because it looks at their number
// and not at how long they take.
func TestSlowPlainUpstreamGetsLess(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("p2", plainService, 4, nil)
	g := w.start("a")
	for id, took := range map[string]time.Duration{"p1": 90 * time.Millisecond, "p2": 20 * time.Millisecond} {
		g.mu.Lock()
		u, _ := g.upstreams.Get(id)
		g.mu.Unlock()
		for range 8 {
			g.recordResponseTime("quote", answered(u, http.StatusOK, took))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight["p2"] = 1
	for range 20 {
		u, _, _ := g.choosePlain(plainChoice{scope: sendScope{service: plainService}}, time.Now())
		if u.ID != "p2" {
			t.Fatalf("chose %s, which takes over four times as long", u.ID)
		}
	}
}

// Guards against hosts that all choose the upstream that an old report shows as idle.
func TestOldReportDoesNotOutweighOwnLoad(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("p2", plainService, 4, nil)
	g := w.start("a")
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.loadOf(plainService).times.ObserveLifetime(20*time.Millisecond, now)
	g.peers.ObserveAt(presence.Heartbeat{Host: "b", Incarnation: "1", Sequence: 1, Load: map[string]int{"p2": 4}}, now)
	g.inFlight["p1"], g.inFlight["p2"] = 2, 0
	g.acquireIdle("p1", "p2")
	later := now.Add(700 * time.Millisecond)
	if u, _, _ := g.choosePlain(plainChoice{scope: sendScope{service: plainService}}, later); u.ID != "p2" {
		t.Errorf("chose %s by a report of %s ago, about requests of 20 ms", u.ID, later.Sub(now))
	}
}

// answered is the result of a send with a response.
func answered(u upstreams.Entry, status int, took time.Duration) sendResult {
	return sendResult{upstream: u, response: &call.Response{Status: status}, took: took}
}

// Guards against an upstream that answers each request with an error at once and attracts more of them, because it
// looks fast.
func TestFastErrorsDoNotAttract(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("p2", plainService, 4, nil)
	g := w.start("a")
	g.mu.Lock()
	p1, _ := g.upstreams.Get("p1")
	p2, _ := g.upstreams.Get("p2")
	g.mu.Unlock()
	for range 8 {
		g.recordResponseTime("quote", answered(p1, http.StatusInternalServerError, time.Millisecond))
		g.recordResponseTime("quote", answered(p2, http.StatusOK, 20*time.Millisecond))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.responseTimesOf(plainService).Slowness("p1", time.Now()); s < 1 {
		t.Errorf("slowness %.2f of an upstream that only fails", s)
	}
}

// acquireIdle makes connections to upstreams look open, so that these do not decide. The caller holds g.mu.
func (g *Gateway) acquireIdle(ids ...string) {
	for _, id := range ids {
		g.connections[id] = connectionState{count: 100, usedAt: time.Now()}
	}
}

// Guards against a send that was given up because another one was faster: it says that its upstream is slow.
func TestOvertakenSendCountsAsSlow(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("p2", plainService, 4, nil)
	g := w.start("a")
	g.mu.Lock()
	p1, _ := g.upstreams.Get("p1")
	p2, _ := g.upstreams.Get("p2")
	g.mu.Unlock()
	for range 6 {
		g.recordResponseTime("quote", answered(p2, http.StatusOK, 20*time.Millisecond))
	}
	cancelled := &upstreamcall.Failure{Reason: upstreamcall.Cancelled}
	g.recordResponseTime("quote", sendResult{upstream: p1, took: 200 * time.Millisecond, failure: cancelled})
	g.recordResponseTime("quote", sendResult{upstream: p2, took: time.Millisecond, failure: cancelled})
	g.mu.Lock()
	defer g.mu.Unlock()
	now, times := time.Now(), g.responseTimesOf(plainService)
	if s := times.Slowness("p1", now); s < 3 {
		t.Errorf("slowness %g of an upstream without a response in ten times the mean", s)
	}
	if s := times.Slowness("p2", now); s > 1.01 {
		t.Errorf("slowness %g after a caller left early", s)
	}
}

// Guards against requests that run into one another while many callers choose at once.
func TestConcurrentRequestsSpread(t *testing.T) {
	w := newTestCluster(t)
	for _, id := range []string{"p2", "p3", "p4"} {
		w.addUpstream(id, plainService, 4, nil)
	}
	g := w.start("a")
	w.upstreams.script(respondAfter(30 * time.Millisecond))
	w.eventually("upstreams known", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.readyIDs(plainService)) == 4
	})
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			if _, err := w.request(g, context.Background(), "/quote/1"); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.loadOf(plainService)
	if _, ratio := l.spread.Busiest(g.readyIDs(plainService), 1); ratio > 1.5 {
		t.Errorf("the busiest upstream got %.2f times the mean", ratio)
	}
}
