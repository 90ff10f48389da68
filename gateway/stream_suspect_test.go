package gateway

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// readStream reads a streamed response to its end.
func readStream(a *call.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	var body bytes.Buffer
	err = a.Stream(&body, func() {})
	return body.String(), err
}

// crashingEngines are engines that crash during a stream after a number of its events.
type crashingEngines struct {
	w      *testCluster
	mu     sync.Mutex
	starts int
	ended  map[string]bool
}

// startEngines starts n engines and a gateway, and waits until the gateway knows them and the fingerprint key.
func startEngines(w *testCluster, n int) (*Gateway, *crashingEngines) {
	e := &crashingEngines{w: w, ended: map[string]bool{}}
	for range n {
		e.startEngine()
	}
	g := w.start("a")
	w.eventually("the host knows the engines and the fingerprint key", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.upstreams.Ready(engineService)) == n+1 && g.suspects.fingerprintKey != nil
	})
	return g, e
}

func (e *crashingEngines) startEngine() {
	e.starts++
	e.w.addUpstream(fmt.Sprint("engine-", e.starts), engineService, 4, map[string]int64{testModel: 1})
}

// respond makes the engine crash after the given number of further events; nil means that it does not crash.
func (e *crashingEngines) respond(r *upstreamcall.Request, events *int) (*upstreamcall.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended[r.Upstream.ID] {
		return nil, notRun(upstreamcall.NoListener)
	}
	if events == nil {
		return nil, nil
	}
	e.startEngine()
	e.ended[r.Upstream.ID] = true
	e.w.upstreams.endUpstream(r.Upstream.ID)
	e.w.store.Delete("upstreams", r.Upstream.ID)
	if *events == 0 {
		return nil, mayHaveRun(upstreamcall.Broken)
	}
	return stream(r.ResumeAfter+1, r.ResumeAfter+*events, false), nil
}

// Guards against a stream that crashes every engine it runs on and is sent on regardless, within one attempt and on
// each retry by its caller.
func TestCrashingStreamIsQuarantined(t *testing.T) {
	w := newTestCluster(t)
	g, e := startEngines(w, 5)
	none := 0
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) { return e.respond(r, &none) })
	var err error
	for range 10 {
		_, err = readStream(w.requestWithBody(t.Context(), g, "/chat/1", "crash"))
	}
	if r := asRefusal(t, err); r.Kind != outcome.KindQuarantined || r.Outcome != outcome.NotRun {
		t.Errorf("the last retry ended with %v", r)
	}
	if len(e.ended) > 3 {
		t.Errorf("%d engines crashed", len(e.ended))
	}
}

// Guards against a long stream that is aborted because engines crashed during it for other reasons. It makes progress
// on each engine, so it is not the cause.
func TestStreamSurvivesUnrelatedCrashes(t *testing.T) {
	w := newTestCluster(t)
	g, e := startEngines(w, 5)
	two := 2
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		if len(e.ended) < 4 {
			return e.respond(r, &two)
		}
		return e.respond(r, nil)
	})
	if _, err := readStream(w.requestWithBody(t.Context(), g, "/chat/1", "sound")); err != nil {
		t.Errorf("aborted after %d crashes: %v", len(e.ended), err)
	}
}
