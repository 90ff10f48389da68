package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against a malformed row that crashes the process or hides the rows after it, both for rows that exist before
// the start and for rows that are written later.
func TestMalformedRowsAreSkipped(t *testing.T) {
	w := newTestCluster(t)
	malformed := []string{panicInput, "", "null", "[]", "{", `{"items":-1}`, `"text"`, "\x00\xff", `{"sequence":"x"}`, `{"load":[1]}`}
	put := func(round string) {
		for i, value := range malformed {
			for _, table := range []string{heartbeatTable, jobTable, usageTable, carryoverTable, "upstreams"} {
				w.store.Put(table, fmt.Sprint("a-", round, i), []byte(value))
			}
		}
	}
	put("before")
	g := w.start("a")
	put("after")
	w.addUpstream("z-late", engineService, 4, map[string]int64{testModel: 1})
	w.eventually("the row after them is known", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		_, ok := g.upstreams.Get("z-late")
		return ok
	})
	items := testItems(8)
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
}

// Guards against a response on which the decoder panics: it must neither crash the process nor leave its item
// unfinished.
func TestPanicOnResponseFailsOnlyItsRun(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 4, map[string]int64{testModel: 1})
	g := w.start("a")
	var panicResponses atomic.Int64
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		if r.Upstream.ID != "e1" {
			time.Sleep(10 * time.Millisecond)
			return nil, nil
		}
		panicResponses.Add(1)
		a := signed(200, "")
		a.Version = 1
		a.Body = io.NopCloser(strings.NewReader(`{"ID":1,"Data":"` + panicInput + `"}`))
		return a, nil
	})
	items := testItems(16)
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
	if panicResponses.Load() == 0 {
		t.Error("no response made the decoder panic")
	}
}

// Guards against a background loop that stops for good after its first panic.
func TestLoopRestartsAfterPanic(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	rounds := 0
	go g.runLoop(t.Context(), "test", func(ctx context.Context) {
		if rounds++; rounds < 3 {
			panic("unexpected")
		}
		<-ctx.Done()
	})
	w.eventually("the loop runs a third time", func() bool {
		return g.metrics.panics("test").Get() == 2
	})
}

// panickingBody is the body of a response whose reading panics.
type panickingBody struct{ io.Reader }

func (panickingBody) Read([]byte) (int, error) { panic(panicInput) }

// Guards against a plain request whose response makes the reader panic: it must neither end the process nor leave its
// caller waiting, its slot taken or its memory reserved. It may have run, so it is not sent again.
func TestPanicInPlainSendFailsOnlyItsRequest(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) {
		a := signed(200, "")
		a.Length, a.Body = 100_000, io.NopCloser(panickingBody{})
		return a, nil
	})
	_, err := w.request(g, t.Context(), "/bill/1")
	if r := asRefusal(t, err); r.Status != http.StatusBadGateway || r.Outcome != outcome.MayHaveRun {
		t.Errorf("answered %d %s", r.Status, r.Outcome)
	}
	g.mu.Lock()
	inFlight := g.inFlight["p1"]
	g.mu.Unlock()
	if n := g.metrics.panics("send").Get(); n != 1 || inFlight != 0 || w.sentTo("p1") != 1 {
		t.Errorf("%d panics recorded, %d requests in flight, %d sent", n, inFlight, w.sentTo("p1"))
	}
}
