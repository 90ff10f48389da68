package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Times and numbers of a request that crashes its upstreams.
const (
	// crashContact is the time after the third crash from which sends are counted, and crashSends how many of them are
	// allowed; both come from the platform's rules.
	crashContact = 4 * time.Second
	crashSends   = 3
	// crashRestart is how long a crashed upstream is away.
	crashRestart = 500 * time.Millisecond
)

// crashes is a set of plain upstreams that end when they run a certain body.
type crashes struct {
	w      *world
	body   string
	mu     sync.Mutex
	ended  map[string]bool
	starts int
	// sends holds when the body reached an upstream.
	sends []time.Time
}

// newCrashes makes n upstreams the plain service of a world, and waits until the hosts know them.
func newCrashes(w *world, body string, n int, hosts ...*Gateway) *crashes {
	c := &crashes{w: w, body: body, ended: map[string]bool{}}
	for range n {
		c.startUpstream()
	}
	w.store.Delete("upstreams", "p1")
	w.engine.script(c.answer)
	w.eventually("every host knows the upstreams", func() bool {
		return !slices.ContainsFunc(hosts, func(g *Gateway) bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			_, old := g.upstreams.Get("p1")
			return old || len(g.upstreams.Ready(plainName)) != n
		})
	})
	return c
}

func (c *crashes) startUpstream() {
	c.mu.Lock()
	c.starts++
	id := fmt.Sprint("desk-", c.starts)
	c.mu.Unlock()
	c.w.addUpstream(id, plainName, 4, nil)
}

// answer ends the upstream that begins to run the body. Its row is removed, and another incarnation follows.
func (c *crashes) answer(r *upstreamcall.Request) (*upstreamcall.Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended[r.Upstream.ID]:
		return nil, notRun(upstreamcall.NoListener)
	case string(r.Body) != c.body:
		return nil, nil
	}
	c.sends = append(c.sends, time.Now())
	c.ended[r.Upstream.ID] = true
	c.w.engine.end(r.Upstream.ID)
	c.w.store.Delete("upstreams", r.Upstream.ID)
	time.AfterFunc(crashRestart, c.startUpstream)
	return nil, mayHaveRun(upstreamcall.Broken)
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sends)
}

// late returns how many sends followed the third one by more than crashContact.
func (c *crashes) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sends) < 3 {
		return 0
	}
	from := c.sends[2].Add(crashContact)
	return len(c.sends) - slices.IndexFunc(append(c.sends, from.Add(time.Hour)), from.Before)
}

var attempts struct {
	sync.Mutex
	n int
}

// ask sends one attempt of a caller with a body.
func (w *world) ask(ctx context.Context, g *Gateway, path, body string) (*call.Answer, error) {
	attempts.Lock()
	attempts.n++
	id := fmt.Sprint("attempt-", attempts.n)
	attempts.Unlock()
	return g.Handle(ctx, &call.Request{
		ID: id, Host: testHost, Method: http.MethodPost, Path: path, Target: path, Key: testKey, Body: []byte(body),
		Received: time.Now(), Patience: 2 * time.Second,
	})
}

// Guards against a request that ends every upstream that runs it and is sent on at each repeat by its caller, at any host,
// because no host remembers it.
func TestCrashingRequestIsHeldBack(t *testing.T) {
	for _, path := range []string{"/quote/1", "/bill/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			hosts := []*Gateway{w.start("a"), w.start("b"), w.start("c")}
			c := newCrashes(w, "crash", 8, hosts...)
			for n := 0; c.count() < 3; n++ {
				_, _ = w.ask(t.Context(), hosts[n%3], path, "crash")
			}
			sleep(t.Context(), crashContact+time.Second)
			before := c.count()
			for n := range 24 {
				if _, err := w.ask(t.Context(), hosts[n%3], path, "crash"); err == nil {
					t.Fatal("a request that was never answered succeeded")
				}
				if answer, err := w.ask(t.Context(), hosts[(n+1)%3], path, fmt.Sprint("sound ", n)); err != nil {
					t.Errorf("sound request %d: %+v, %v", n, answer, err)
				}
				sleep(t.Context(), 100*time.Millisecond)
			}
			t.Logf("%d sends before, %d after", before, c.count()-before)
			if late := c.late(); late > crashSends {
				t.Errorf("sent %d times later than %s after its third crash, allowed are %d", late, crashContact, crashSends)
			}
		})
	}
}
