package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/membudget"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// endlessReader repeats a piece forever.
type endlessReader struct{ piece []byte }

func (e endlessReader) Read(p []byte) (int, error) {
	return copy(p, bytes.Repeat(e.piece, len(p)/len(e.piece)+1)), nil
}

// endlessEvents is a valid stream of events that never ends.
type endlessEvents struct {
	next int
	rest []byte
}

func (e *endlessEvents) Read(p []byte) (int, error) {
	if len(e.rest) == 0 {
		e.next++
		e.rest = fmt.Appendf(nil, `{"ID":%d,"Data":"on and on"}`+"\n", e.next)
	}
	n := copy(p, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// Guards against an upstream whose response never ends. The request must be sent to another upstream, and the memory of
// the response must be released.
func TestEndlessResponseIsAborted(t *testing.T) {
	w := newTestCluster(t)
	far, err := json.Marshal(upstreams.Entry{
		ID: "p2", Service: plainService, Address: "p2", DataCentre: "south-1", Slots: 4, State: upstreams.Ready,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.store.Put("upstreams", "p2", far) // p1 is nearer, so it gets the request first
	g := w.start("a")
	// With little memory, the response is aborted before the request is hedged.
	g.opts.Memory = membudget.New(64<<10, func(int64) {})
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		if r.Upstream.ID != "p1" {
			return nil, nil
		}
		a := signed(200, "")
		a.Body, a.Length = io.NopCloser(endlessReader{piece: []byte("no end ")}), -1
		return a, nil
	})
	suspect := func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.healthOf("p1").Suspect()
	}
	for i := 0; i < 20 && !suspect(); i++ {
		response, err := w.request(g, t.Context(), fmt.Sprint("/quote/", i))
		if err != nil || string(response.Body) != "done" {
			t.Errorf("request %d: %+v, %v", i, response, err)
		}
	}
	if !suspect() {
		t.Error("the upstream is not suspect")
	}
	if used := g.opts.Memory.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}

// Guards against a stream of valid events that exceeds the token limit of its item and blocks the job.
func TestEndlessTextIsRetriedElsewhere(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 4, map[string]int64{testModel: 1})
	g := w.start("a")
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		if r.Upstream.ID != "e1" {
			return nil, nil
		}
		a := signed(200, "")
		a.Version = 1
		a.Body = io.NopCloser(&endlessEvents{next: r.ResumeAfter})
		return a, nil
	})
	var items []batch.Item
	for _, i := range testItems(6) {
		i.Tokens, i.PromptTokens = 90, 50
		items = append(items, i)
	}
	started := time.Now()
	w.mustSubmit(g, "job-1", items...)
	results := w.readAll(g, "job-1")
	w.checkExactlyOnce(results, items)
	for _, r := range results {
		if r.State != batch.Succeeded || r.Output != "event 1\nevent 2\nevent 3" {
			t.Errorf("%s: %s with a text of %d bytes", r.ID, r.State, len(r.Output))
		}
	}
	if took := time.Since(started); took > 10*time.Second {
		t.Errorf("the job took %s", took)
	}
}

// endlessEvent is an event that never ends. It counts the bytes that were read.
type endlessEvent struct {
	started bool
	read    atomic.Int64
}

func (e *endlessEvent) Read(p []byte) (int, error) {
	defer func() { e.read.Add(int64(len(p))) }()
	if !e.started {
		e.started = true
		return copy(p, `{"ID":1,"Data":"`), nil
	}
	return copy(p, bytes.Repeat([]byte("x"), len(p))), nil
}

// Guards against an event without end, of which no part counts against the memory before it is complete.
func TestEndlessEventIsGivenUp(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 4, map[string]int64{testModel: 1})
	g := w.start("a")
	const memory = 256 << 10
	g.opts.Memory = membudget.New(memory, func(int64) {})
	body := &endlessEvent{}
	var given atomic.Bool
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		if r.Upstream.Service != engineService || !given.CompareAndSwap(false, true) {
			return nil, nil
		}
		a := signed(200, "")
		a.Version = 1
		a.Body = io.NopCloser(body)
		return a, nil
	})
	items := testItems(4)
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
	if n := body.read.Load(); n > 4*memory {
		t.Errorf("%d bytes of an event were read with a memory budget of %d", n, memory)
	}
}
