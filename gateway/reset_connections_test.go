package gateway

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
)

// longRun returns a run that generates for 12 s after the given event. If it breaks off, it does so after two events.
func longRun(after int, breaksOff bool) *upstreamcall.Response {
	response := signed(200, "")
	response.Version = 1
	paced := &pacedReader{pace: 100 * time.Millisecond, pieces: eventLines(after + 120)[after:], closed: make(chan struct{})}
	response.Body = paced
	if breaksOff {
		paced.pieces = paced.pieces[:2]
		response.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(paced, brokenReader{}), paced}
	}
	return response
}

// Guards against texts that wait for the end of a long one beside them: after some of the connections to an engine were
// reset, it has room for all of them, and runs go on there that started before.
func TestResetTextsRestartBesideRunningOnes(t *testing.T) {
	const items, broken = 8, 5
	w := newTestCluster(t)
	w.addUpstream("e1", engineService, items, map[string]int64{testModel: 1})
	g := w.start("a")
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		var item int
		if _, err := fmt.Sscanf(r.ID, "item-%d", &item); err != nil {
			return nil, nil
		}
		return longRun(r.ResumeAfter, r.ResumeAfter == 0 && item < broken), nil
	})
	w.mustSubmit(g, "job-1", testItems(items)...)
	// The connections break off 200 ms after the submission.
	resumed := func() int {
		return w.upstreams.requests(func(r upstreamcall.Request) bool { return r.ResumeAfter > 0 })
	}
	const contact = 4 * time.Second
	for until := time.Now().Add(contact); resumed() < broken && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
	}
	if n := resumed(); n < broken {
		t.Errorf("%d of %d texts go on within %s", n, broken, contact)
	}
}

// Guards against the same among plain upstreams: one at which a long stream goes on gets no request any more after another
// request failed there.
func TestLongStreamDoesNotKeepUpstreamSuspect(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("p2", plainService, 4, nil)
	g := w.start("a")
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	u, _ := g.upstreams.Get("p1")
	g.acquire(u, now)
	g.healthOf("p1").RecordFailure(now.Add(time.Millisecond))
	later := now.Add(time.Second)
	for _, o := range g.optionsFor(plainChoice{scope: sendScope{service: plainService}}, g.candidates(sendScope{service: plainService}), later) {
		if o.Suspect {
			t.Errorf("%s takes no request beside the one that was sent before the failure", o.ID)
		}
	}
}

// Guards against a stream whose begin does not show that its upstream works again: others would wait for its end.
func TestFirstEventOfStreamEndsWait(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	g.mu.Lock()
	g.healthOf("e1").RecordFailure(time.Now().Add(-time.Second))
	g.mu.Unlock()
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) { return longRun(0, false), nil })
	response, err := w.request(g, t.Context(), "/chat/1")
	if err != nil {
		t.Fatal(err)
	}
	var body strings.Builder
	go func() { _ = response.Stream(&body, func() {}) }() // cut when the test ends
	w.eventually("the upstream takes another request", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.inFlight["e1"] > 0 && g.healthOf("e1").Allowed(time.Now())
	})
}

// Guards against a crowd of waiting texts at an engine that has failed, accepts them and never sends an event.
func TestWaitingTextsDoNotCrowdFailedEngine(t *testing.T) {
	const items = 8
	w := newTestCluster(t)
	w.addUpstream("e1", engineService, items, map[string]int64{testModel: 1})
	g := w.start("a")
	g.mu.Lock()
	g.healthOf("e1").RecordFailure(time.Now())
	g.mu.Unlock()
	w.upstreams.hangs = func(r *upstreamcall.Request) bool { return r.Upstream.ID == "e1" }
	w.mustSubmit(g, "job-1", testItems(items)...)
	w.eventually("a text is sent", func() bool { return w.sentTo("e1") > 0 })
	time.Sleep(maxSilence / 2)
	if n := w.sentTo("e1"); n != 1 {
		t.Errorf("%d texts were sent, want one", n)
	}
}
