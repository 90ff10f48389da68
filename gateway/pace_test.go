package gateway

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against an engine that seems faster with every text that continues there: the first event of a resumed run
// comes right behind the head of the response, whatever the pace of the engine is.
func TestFirstEventOfResumedRunIsNoPace(t *testing.T) {
	const pace = 60 * time.Millisecond
	w := newTestCluster(t)
	g := w.start("a")
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		lines := eventLines(r.ResumeAfter + 2)[r.ResumeAfter:]
		response := signed(200, "")
		response.Version = 1
		body := []io.Reader{strings.NewReader(lines[0]), &pacedReader{pace: pace, pieces: lines[1:], closed: make(chan struct{})}}
		if r.ResumeAfter < 6 {
			body = append(body, brokenReader{})
		}
		response.Body = io.NopCloser(io.MultiReader(body...))
		return response, nil
	})
	w.mustSubmit(g, "job-1", testItems(1)...)
	w.readAll(g, "job-1")
	g.mu.Lock()
	defer g.mu.Unlock()
	if got := g.healthOf("e1").LastPace(); got < pace {
		t.Errorf("pace %s of an engine with at least %s between two events", got, pace)
	}
}
