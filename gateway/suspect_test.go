package gateway

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against a request that crashes every upstream it runs on and is sent again on each retry by its caller, at any
// host, because the hosts do not remember it.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, path := range []string{"/quote/1", "/bill/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t)
			hosts := []*Gateway{w.start("a"), w.start("b"), w.start("c")}
			c := newCrashingUpstreams(w, "crash", 8, hosts...)
			for n := 0; c.sendCount() < 3; n++ {
				_, _ = w.requestWithBody(t.Context(), hosts[n%3], path, "crash")
			}
			sleep(t.Context(), crashGrace+time.Second)
			before := c.sendCount()
			for n := range 24 {
				if _, err := w.requestWithBody(t.Context(), hosts[n%3], path, "crash"); err == nil {
					t.Fatal("a request that was never answered succeeded")
				}
				if response, err := w.requestWithBody(t.Context(), hosts[(n+1)%3], path, fmt.Sprint("sound ", n)); err != nil {
					t.Errorf("sound request %d: %+v, %v", n, response, err)
				}
				sleep(t.Context(), 100*time.Millisecond)
			}
			t.Logf("%d sends before, %d after", before, c.sendCount()-before)
			if late := c.lateSends(); late > maxLateSends {
				t.Errorf("sent %d times more than %s after its third crash, want at most %d", late, crashGrace, maxLateSends)
			}
		})
	}
}

// Guards against hosts that count crashes on their own, so that a request crashes three upstreams per host, and against
// a count that is lost when the hosts end.
func TestUpstreamEndsAddUpAcrossHosts(t *testing.T) {
	w := newTestCluster(t)
	hosts := []*Gateway{w.start("a"), w.start("b")}
	c := newCrashingUpstreams(w, "crash", 8, hosts...)
	for _, g := range hosts {
		_, _ = w.requestWithBody(t.Context(), g, "/bill/1", "crash")
	}
	if c.sendCount() != 2 {
		t.Fatalf("%d sends by two hosts, want one by each", c.sendCount())
	}
	hosts = append(hosts, w.start("c"))
	w.eventually("every host knows both ends", func() bool {
		return !slices.ContainsFunc(hosts, func(g *Gateway) bool { return suspectEnds(g) != 2 })
	})
	for _, g := range hosts {
		_, err := w.requestWithBody(t.Context(), g, "/bill/1", "crash")
		if r := asRefusal(t, err); r.Kind != outcome.KindQuarantined {
			t.Errorf("host %s: %v", g.opts.Host, r)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		w.kill(name)
	}
	_, err := w.requestWithBody(t.Context(), w.start("d"), "/bill/1", "crash")
	if r := asRefusal(t, err); r.Kind != outcome.KindQuarantined || r.Outcome != outcome.NotRun || r.RetryAfter <= 0 {
		t.Errorf("after the loss of all hosts: %v", r)
	}
	if c.sendCount() != 2 {
		t.Errorf("%d sends, want none after the second", c.sendCount())
	}
}

// Guards against requests that are refused because connections were reset or responses lost although no upstream ended.
func TestBrokenRunsAtLiveUpstreamsQuarantineNothing(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	newCrashingUpstreams(w, "", 6, g)
	w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) {
		return nil, mayHaveRun(upstreamcall.Broken)
	})
	for n := range 12 {
		if _, err := w.requestWithBody(t.Context(), g, "/bill/1", "reset"); asRefusal(t, err).Kind != outcome.KindUpstreamFailed {
			t.Fatalf("attempt %d: %v", n, err)
		}
		sleep(t.Context(), 20*time.Millisecond)
	}
}

// Guards against other requests that are refused because they ran beside one that crashes its upstreams.
func TestCompanyOfACrashingRequestIsServed(t *testing.T) { testRequestsBesideCrash(t, "a", "b") }

// Guards against the same failure if all requests come to one host, which can always isolate them from each other.
func TestRequestsBesideCrashAtOneHostAreServed(t *testing.T) { testRequestsBesideCrash(t, "a") }

// Guards against the same failure if there are more hosts than upstreams, so that several hosts share an upstream.
func TestRequestsBesideCrashAtManyHostsAreServed(t *testing.T) {
	testRequestsBesideCrash(t, "a", "b", "c", "d", "e", "f")
}

func testRequestsBesideCrash(t *testing.T, names ...string) {
	w := newTestCluster(t)
	var hosts []*Gateway
	for _, name := range names {
		hosts = append(hosts, w.start(name))
	}
	c := newCrashingUpstreams(w, "crash", 4, hosts...)
	c.requestTime = 30 * time.Millisecond
	var wg sync.WaitGroup
	for round := range 6 {
		for i, g := range hosts {
			for n := range 4 {
				wg.Go(func() {
					body := fmt.Sprint("sound ", round, i, n)
					if _, err := w.requestWithBody(t.Context(), g, "/quote/1", body); err != nil {
						t.Errorf("%s: %v", body, err)
					}
				})
			}
		}
		wg.Go(func() {
			sleep(t.Context(), 5*time.Millisecond)
			_, _ = w.requestWithBody(t.Context(), hosts[round%len(hosts)], "/quote/1", "crash")
		})
		wg.Wait()
		sleep(t.Context(), crashRestartDelay)
	}
	if c.sendCount() > 3 {
		t.Errorf("%d upstreams ended", c.sendCount())
	}
}

// Guards against a suspect request that every host sends again, instead of only one host, when its retry delay is over.
func TestProbeIsSentByOneHostOnly(t *testing.T) {
	w := newTestCluster(t)
	w.suspects = quarantine.DefaultLedgerConfig()
	w.suspects.RetryDelays = []time.Duration{0, 0, 0, time.Second, time.Hour}
	hosts := []*Gateway{w.start("a"), w.start("b"), w.start("c")}
	c := newCrashingUpstreams(w, "crash", 8, hosts...)
	for _, g := range hosts {
		_, _ = w.requestWithBody(t.Context(), g, "/bill/1", "crash")
	}
	w.eventually("every host knows three ends", func() bool {
		return !slices.ContainsFunc(hosts, func(g *Gateway) bool { return suspectEnds(g) != 3 })
	})
	before := c.sendCount()
	sleep(t.Context(), 1500*time.Millisecond)
	var wg sync.WaitGroup
	for _, g := range slices.Concat(hosts, hosts, hosts) {
		wg.Go(func() { _, _ = w.requestWithBody(t.Context(), g, "/bill/1", "crash") })
	}
	wg.Wait()
	if n := c.sendCount() - before; n != 1 {
		t.Errorf("%d sends after the retry delay, want 1", n)
	}
}

// Guards against a case that stays open after a complete response has shown that the request is harmless.
func TestCompleteResponseClearsSuspect(t *testing.T) {
	w := newTestCluster(t)
	a, b := w.start("a"), w.start("b")
	c := newCrashingUpstreams(w, "crash", 4, a, b)
	_, _ = w.requestWithBody(t.Context(), a, "/bill/1", "crash")
	w.eventually("both hosts know the end", func() bool { return suspectCount(a) == 1 && suspectCount(b) == 1 })
	c.mu.Lock()
	c.body = "another" // from now on the request crashes nothing: the first crash had another cause
	c.mu.Unlock()
	if _, err := w.requestWithBody(t.Context(), b, "/bill/1", "crash"); err != nil {
		t.Fatal(err)
	}
	w.eventually("both hosts forget it", func() bool { return suspectCount(a) == 0 && suspectCount(b) == 0 })
}

func suspectCount(g *Gateway) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.ledger.Len()
}

// suspectEnds returns how many ends of upstreams a host counts, summed over all cases.
func suspectEnds(g *Gateway) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for fingerprint := range g.suspects.rowVersions {
		c, _ := g.suspects.ledger.Case(fingerprint)
		n += len(c.Ends)
	}
	return n
}

// Guards against a score call that crashes every upstream and is repeated until its item expires, and against items that
// are lost because of it.
func TestCrashingScoreCallIsQuarantined(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	c := newCrashingUpstreams(w, "crash", 6, g)
	items := testItems(4)
	for i := range items {
		items[i].Score = &batch.ScoreCall{ID: fmt.Sprint("score-", i), Host: testHost, Path: "/score/1", Body: []byte(fmt.Sprint(i))}
	}
	items[0].Score.Body = []byte("crash")
	w.mustSubmit(g, "job", items...)
	w.eventually("the other items are scored", func() bool {
		page, err := g.Results(t.Context(), call.BatchRequest{ID: "job", Host: testHost, Key: testKey})
		return err == nil && len(page.Results) == 3
	})
	sleep(t.Context(), 6*time.Second)
	if c.sendCount() > 3 {
		t.Errorf("%d upstreams crashed during one score call", c.sendCount())
	}
}
