package connguard

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/connlimit"
)

const generous = 30 * time.Second

// server is a guarded server whose handler echoes bodies; a request for /held is answered once release is closed.
type server struct {
	*http.Server
	guard   *Guard
	address string
	release chan struct{}
	// held gets a value for each request that is in progress and waits for release.
	held chan struct{}

	mu      sync.Mutex
	reasons []Reason
}

func prepareServer(limits connlimit.Limits, heads Heads) *server {
	s := &server{release: make(chan struct{}), held: make(chan struct{}, 100)}
	s.guard = New(Options{Limits: limits, Heads: func() Heads { return heads }, OnClose: func(reason Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reasons = append(s.reasons, reason)
	}})
	s.Server = s.guard.Server(&http.Server{ReadHeaderTimeout: generous, IdleTimeout: generous, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if r.URL.Path == "/held" {
				s.held <- struct{}{}
				<-s.release
			}
			if r.URL.Path == "/endless" {
				s.held <- struct{}{}
				for block := make([]byte, 1<<20); err == nil; {
					_, err = w.Write(block)
				}
				return
			}
			fmt.Fprintf(w, "%s %s", r.URL.Path, body)
		})})
	return s
}

func startServer(t *testing.T, limits connlimit.Limits, heads Heads) *server {
	t.Helper()
	s := prepareServer(limits, heads)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	go func() { _ = s.Serve(s.guard.Listener(listener)) }() // returns when the server is closed
	t.Cleanup(func() { s.Close() })
	return s
}

// client is one connection to the server.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (s *server) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(generous)); err != nil {
		t.Fatal(err)
	}
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// answer returns the status and the body of the next answer; the status is 0 if the connection was closed.
func (c *client) answer(t *testing.T) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, ""
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func (c *client) wantAnswer(t *testing.T, status int, body string) {
	t.Helper()
	if gotStatus, gotBody := c.answer(t); gotStatus != status || gotBody != body {
		t.Errorf("got status %d, body %q; want %d, %q", gotStatus, gotBody, status, body)
	}
}

func (c *client) wantClosed(t *testing.T) {
	t.Helper()
	if n, err := c.in.Read(make([]byte, 1)); err == nil {
		t.Errorf("read %d bytes from a connection that should be closed", n)
	}
}

// waitCount waits until the guard counts n connections.
func (s *server) waitCount(t *testing.T, n int) {
	t.Helper()
	for deadline := time.Now().Add(generous); s.guard.Count() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections, want %d", s.guard.Count(), n)
		}
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

var wide = connlimit.Limits{Connections: 100, Bytes: 64 << 20}

// Guards against requests that are harmed by being counted: on one connection requests with and without bodies, in pieces,
// several at once, and one whose body is larger than a head may be.
func TestRequestsWithinTheLimitsAreServed(t *testing.T) {
	s := startServer(t, wide, Heads{Bytes: 1 << 10, Timeout: generous})
	c := s.dial(t)
	for _, piece := range strings.SplitAfter(get("/pieces"), "\r\n") {
		c.send(t, piece)
		time.Sleep(time.Millisecond)
	}
	c.wantAnswer(t, http.StatusOK, "/pieces ")
	body := strings.Repeat("x", 100_000)
	for range 3 {
		c.send(t, fmt.Sprintf("POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		c.wantAnswer(t, http.StatusOK, "/large "+body)
	}
	c.send(t, "POST /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
	c.wantAnswer(t, http.StatusOK, "/chunks abc")
	c.send(t, strings.Repeat(get("/many"), 200))
	for range 200 {
		c.wantAnswer(t, http.StatusOK, "/many ")
	}
	if len(s.reasons) > 0 || s.guard.Count() != 1 {
		t.Errorf("%d connections, closed: %v", s.guard.Count(), s.reasons)
	}
	c.Close()
	s.waitCount(t, 0)
	if bytes := s.guard.Bytes(); bytes != 0 {
		t.Errorf("%d bytes are counted without a connection", bytes)
	}
}

// Guards against heads that exceed the limits in force, of which the server knows nothing.
func TestHeadsBeyondTheLimitsAreRefused(t *testing.T) {
	large := startServer(t, wide, Heads{Bytes: 1 << 10, Timeout: generous})
	c := large.dial(t)
	c.send(t, "GET / HTTP/1.1\r\nHost: a\r\nX-Filler: "+strings.Repeat("a", 1<<10+headSlack)+"\r\n\r\n")
	c.wantAnswer(t, http.StatusRequestHeaderFieldsTooLarge, "Request Header Fields Too Large")
	c.wantClosed(t)
	slow := startServer(t, wide, Heads{Bytes: 1 << 10, Timeout: 50 * time.Millisecond})
	c = slow.dial(t)
	c.send(t, get("/"))
	c.wantAnswer(t, http.StatusOK, "/ ")
	c.send(t, "GET / HTTP/1.1\r\n")
	c.wantAnswer(t, http.StatusRequestTimeout, "Request Timeout")
	c.wantClosed(t)
}

// Guards against a request in progress that is closed for a new connection, and against a new connection that is left without
// an answer when there is no other one to be closed.
func TestServedRequestsStay(t *testing.T) {
	s := startServer(t, connlimit.Limits{Connections: 2, Bytes: 1 << 20}, Heads{})
	held := []*client{s.dial(t), s.dial(t)}
	for _, c := range held {
		c.send(t, "POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
	}
	<-s.held
	<-s.held
	s.dial(t).wantAnswer(t, http.StatusServiceUnavailable, "Service Unavailable")
	close(s.release)
	for _, c := range held {
		c.wantAnswer(t, http.StatusOK, "/held ab")
	}
}

// Guards against clients that keep others out: those that wait with a head or a body make room for a new one.
func TestWaitingConnectionsMakeRoom(t *testing.T) {
	s := startServer(t, connlimit.Limits{Connections: 4, Bytes: 1 << 20}, Heads{})
	var waiting []*client
	for _, text := range []string{"", "GET / HT", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab", "\r"} {
		c := s.dial(t)
		c.send(t, text)
		waiting = append(waiting, c)
	}
	s.waitCount(t, 4)
	for range waiting {
		c := s.dial(t)
		c.send(t, "POST /ordinary HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
		c.wantAnswer(t, http.StatusOK, "/ordinary x")
		if s.guard.Count() > 4 {
			t.Errorf("%d connections of 4", s.guard.Count())
		}
	}
	waiting[0].wantClosed(t)
}

// Guards against a planned stop that cuts off a request or waits for connections without one.
func TestShutdownAnswersRequestsInProgress(t *testing.T) {
	s := startServer(t, wide, Heads{})
	idle, held := s.dial(t), s.dial(t)
	idle.send(t, get("/"))
	idle.wantAnswer(t, http.StatusOK, "/ ")
	held.send(t, get("/held"))
	<-s.held
	stopped := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), generous)
		defer cancel()
		stopped <- s.Shutdown(ctx)
	}()
	idle.wantClosed(t)
	close(s.release)
	held.wantAnswer(t, http.StatusOK, "/held ")
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a caller that takes no bytes of its answer and holds it for as long as it likes, and against one that is closed
// although it waits for its answer or takes it.
func TestStalledCallersAreClosed(t *testing.T) {
	s := startServer(t, wide, Heads{})
	waiting, reading, stalled := s.dial(t), s.dial(t), s.dial(t)
	waiting.send(t, get("/held"))
	reading.send(t, get("/endless"))
	stalled.send(t, get("/endless"))
	for range 3 {
		<-s.held
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for buf := make([]byte, 1<<20); ; {
			select {
			case <-stop:
				return
			default:
				if _, err := reading.Read(buf); err != nil {
					return
				}
			}
		}
	}()
	for deadline := time.Now().Add(2 * generous); s.guard.Count() == 3; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no connection was closed")
		}
		s.guard.CloseStalled()
	}
	s.waitCount(t, 2)
	close(s.release)
	waiting.wantAnswer(t, http.StatusOK, "/held ")
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reasons) != 1 || s.reasons[0] != ReasonStalled {
		t.Errorf("closed: %v, want one stalled connection", s.reasons)
	}
}
