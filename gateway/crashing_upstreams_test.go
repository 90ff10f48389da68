package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Parameters of the tests with a request that crashes its upstreams.
const (
	// crashGrace is the time after the third crash from which sends are counted, and maxLateSends the number of them that
	// is allowed. Both are set by the rules of the platform.
	crashGrace   = 4 * time.Second
	maxLateSends = 3
	// crashRestartDelay is how long a crashed upstream takes to restart.
	crashRestartDelay = 500 * time.Millisecond
)

// crashingUpstreams is a set of plain upstreams that crash when they run a certain body.
type crashingUpstreams struct {
	w    *testCluster
	body string
	// requestTime is how long other requests run. They fail if their upstream crashes meanwhile.
	requestTime time.Duration

	mu sync.Mutex
	// ended holds a channel for each upstream that ran a request; it is closed when the upstream crashes.
	ended  map[string]chan struct{}
	starts int
	// sends holds the times at which the body reached an upstream.
	sends []time.Time
}

// newCrashingUpstreams replaces the plain upstreams of a cluster by n new ones, and waits until the hosts know them.
func newCrashingUpstreams(w *testCluster, body string, n int, hosts ...*Gateway) *crashingUpstreams {
	c := &crashingUpstreams{w: w, body: body, ended: map[string]chan struct{}{}}
	for range n {
		c.startUpstream()
	}
	w.store.Delete("upstreams", "p1")
	w.upstreams.script(c.respond)
	w.eventually("every host knows the upstreams", func() bool {
		return !slices.ContainsFunc(hosts, func(g *Gateway) bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			_, old := g.upstreams.Get("p1")
			return old || len(g.upstreams.Ready(plainService)) != n || g.suspects.fingerprintKey == nil
		})
	})
	return c
}

func (c *crashingUpstreams) startUpstream() {
	c.mu.Lock()
	c.starts++
	id := fmt.Sprint("desk-", c.starts)
	c.mu.Unlock()
	c.w.addUpstream(id, plainService, 4, nil)
}

// respond crashes the upstream if the request has the body. The row of the upstream is removed, and a new upstream starts
// later.
func (c *crashingUpstreams) respond(r *upstreamcall.Request) (*upstreamcall.Response, error) {
	if r.Upstream.Service != plainService {
		return nil, nil
	}
	ended, crash := c.begin(r)
	select {
	case <-ended:
		if crash {
			return nil, mayHaveRun(upstreamcall.Broken)
		}
		return nil, notRun(upstreamcall.NoListener)
	default:
	}
	select {
	case <-ended:
		return nil, mayHaveRun(upstreamcall.Broken)
	case <-time.After(c.requestTime):
		return nil, nil
	}
}

// begin returns the channel that is closed when the upstream of a request crashes, and whether this request is the
// cause.
func (c *crashingUpstreams) begin(r *upstreamcall.Request) (ended chan struct{}, crash bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended, ok := c.ended[r.Upstream.ID]
	if !ok {
		ended = make(chan struct{})
		c.ended[r.Upstream.ID] = ended
	}
	if string(r.Body) != c.body || isClosed(ended) {
		return ended, false
	}
	c.sends = append(c.sends, time.Now())
	close(ended)
	c.w.upstreams.endUpstream(r.Upstream.ID)
	c.w.store.Delete("upstreams", r.Upstream.ID)
	time.AfterFunc(crashRestartDelay, c.startUpstream)
	return ended, true
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (c *crashingUpstreams) sendCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sends)
}

// lateSends returns how many sends came more than crashGrace after the third one.
func (c *crashingUpstreams) lateSends() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sends) < 3 {
		return 0
	}
	from := c.sends[2].Add(crashGrace)
	return len(c.sends) - slices.IndexFunc(append(c.sends, from.Add(time.Hour)), from.Before)
}

// attemptCounter numbers the requests of requestWithBody over all tests.
var attemptCounter struct {
	sync.Mutex
	n int
}

// requestWithBody sends a request with a body and an ID of its own to a gateway.
func (w *testCluster) requestWithBody(ctx context.Context, g *Gateway, path, body string) (*call.Response, error) {
	attemptCounter.Lock()
	attemptCounter.n++
	id := fmt.Sprint("attempt-", attemptCounter.n)
	attemptCounter.Unlock()
	return g.Handle(ctx, &call.Request{
		ID: id, Host: testHost, Method: http.MethodPost, Path: path, Target: path, Key: testKey, Body: []byte(body),
		Received: time.Now(), Timeout: 2 * time.Second,
	})
}
