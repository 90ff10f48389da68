package gateway

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
)

// pacedReader returns one piece per interval of length pace.
type pacedReader struct {
	pace   time.Duration
	pieces []string
	closed chan struct{}
	once   sync.Once
	// endless makes the reader repeat its last piece until it is closed; otherwise it ends after the last piece.
	endless bool
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if len(p.pieces) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(p.pace):
	case <-p.closed:
		return 0, io.ErrClosedPipe
	}
	n := copy(b, p.pieces[0])
	if !p.endless || len(p.pieces) > 1 {
		p.pieces = p.pieces[1:]
	}
	return n, nil
}

func (p *pacedReader) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func eventLines(n int) []string {
	var lines []string
	for id := 1; id <= n; id++ {
		lines = append(lines, fmt.Sprintf(`{"ID":%d,"Data":"event %d"}`+"\n", id, id))
	}
	return lines
}

// Guards against a stream that is aborted although its upstream makes progress: the pauses between events exceed
// eventTimeout, but the upstream responds to probes.
func TestSlowStreamIsNotAborted(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		a := signed(200, "")
		a.Version = 1
		a.Body = &pacedReader{pace: eventTimeout + 400*time.Millisecond, pieces: eventLines(4), closed: make(chan struct{})}
		return a, nil
	})
	items := testItems(1)
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
	if n := w.upstreams.requests(func(upstreamcall.Request) bool { return true }); n != 1 {
		t.Errorf("the text took %d runs, want one", n)
	}
}

// Guards against a stream that never ends because its upstream keeps sending bytes that are not part of an event.
func TestStreamWithoutEventsIsAborted(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 4, map[string]int64{testModel: 1})
	g := w.start("a")
	var stalled atomic.Int64
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		if r.Upstream.ID != "e1" || stalled.Load() > 0 {
			return nil, nil
		}
		stalled.Add(1)
		a := signed(200, "")
		a.Version = 1
		a.Body = &pacedReader{pace: 50 * time.Millisecond, pieces: append(eventLines(1), "\n"), closed: make(chan struct{}), endless: true}
		return a, nil
	})
	items := testItems(4)
	started := time.Now()
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
	if took := time.Since(started); stalled.Load() == 0 || took > maxSilence+2*time.Second {
		t.Errorf("%d streams without events, and the job took %s", stalled.Load(), took)
	}
}
