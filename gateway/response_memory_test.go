package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/membudget"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against large responses that wait for slow callers and count nowhere, and against memory that stays reserved
// after they were written.
func TestResponseCountsUntilItIsWritten(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	g.opts.Memory = membudget.New(10<<20, func(int64) {})
	body := strings.Repeat("x", 1<<20)
	w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) { return signed(http.StatusOK, body), nil })
	inUse, written := context.WithCancel(t.Context())
	defer written()
	var responses []*call.Response
	for range 3 {
		response, err := w.request(g, inUse, "/bill/1")
		if err != nil || string(response.Body) != body {
			t.Fatalf("%+v, %v", response, err)
		}
		responses = append(responses, response)
	}
	if used := g.opts.Memory.Used(); used != int64(len(responses)*len(body)) {
		t.Errorf("%d bytes are reserved for %d responses", used, len(responses))
	}
	written()
	w.eventually("the memory is released", func() bool { return g.opts.Memory.Used() == 0 })
}
