package attemptconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const attemptHeader = "Attempt"

// upstream is an upstream that records which attempts each of its connections carried.
type upstream struct {
	address string
	// respond returns the bytes for the n-th request, from 1, of a connection.
	respond func(attempt string, n int) string

	mu      sync.Mutex
	carried [][]string
}

// start starts an upstream until the end of the test.
func start(t *testing.T, respond func(attempt string, n int) string) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &upstream{address: listener.Addr().String(), respond: respond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.carried = append(u.carried, nil)
			index := len(u.carried) - 1
			u.mu.Unlock()
			go u.serve(conn, index)
		}
	}()
	return u
}

func (u *upstream) serve(conn net.Conn, index int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := r.Header.Get(attemptHeader)
		u.mu.Lock()
		u.carried[index] = append(u.carried[index], attempt)
		u.mu.Unlock()
		if _, err := io.WriteString(conn, u.respond(attempt, n)); err != nil {
			return
		}
	}
}

// connections returns the attempts that each connection carried.
func (u *upstream) connections() [][]string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([][]string(nil), u.carried...)
}

func response(attempt, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", attemptHeader, attempt, len(body), body)
}

func newTestClient() *Client {
	return NewClient(&http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: 8})
}

// send sends an attempt and returns the body of the response.
func send(t *testing.T, c *Client, u *upstream, method, attempt string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+u.address, bytes.NewReader([]byte("body")))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(attemptHeader, attempt)
	resp, _, err := c.Send(req, attempt)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// Guards against a late second copy of a response that passes for the response to a later send of the same attempt.
func TestLateCopyIsNotTheNextResponse(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var mu sync.Mutex
		runs, last := 0, map[int]string{}
		u := start(t, func(attempt string, n int) string {
			mu.Lock()
			defer mu.Unlock()
			runs++
			text := response(attempt, fmt.Sprint("run ", runs))
			if n > 1 {
				text = last[n-1] + text
			}
			last[n] = text
			return text
		})
		c := newTestClient()
		for i := 1; i <= 5; i++ {
			if got, want := send(t, c, u, method, "a"), fmt.Sprint("run ", i); got != want {
				t.Errorf("%s: response of %q, want %q", method, got, want)
			}
		}
		for i, attempts := range u.connections() {
			if len(attempts) > 1 {
				t.Errorf("%s: connection %d carried %v", method, i, attempts)
			}
		}
	}
}

// Guards against the same where the copy is already in the read buffer when the attempt is sent again.
func TestBufferedCopyIsNotTheNextResponse(t *testing.T) {
	var mu sync.Mutex
	runs := 0
	u := start(t, func(attempt string, _ int) string {
		mu.Lock()
		defer mu.Unlock()
		runs++
		return response(attempt, fmt.Sprint("run ", runs)) + response(attempt, fmt.Sprint("run ", runs))
	})
	c := newTestClient()
	for i := 1; i <= 300; i++ {
		if got, want := send(t, c, u, http.MethodPost, "a"), fmt.Sprint("run ", i); got != want {
			t.Fatalf("response of %q, want %q", got, want)
		}
	}
}

// Guards against a new connection for each attempt, and against a connection whose record of attempts grows for ever.
func TestConnectionsAreReusedForOtherAttempts(t *testing.T) {
	u := start(t, func(attempt string, _ int) string { return response(attempt, "ok") })
	c := newTestClient()
	for i := range 2 * maxAttemptsPerConn {
		send(t, c, u, http.MethodPost, fmt.Sprint("a", i))
	}
	conns := u.connections()
	if len(conns) != 2 {
		t.Errorf("%d connections for %d attempts, want 2", len(conns), 2*maxAttemptsPerConn)
	}
	for i, attempts := range conns {
		if len(attempts) > maxAttemptsPerConn {
			t.Errorf("connection %d carried %d attempts", i, len(attempts))
		}
	}
}

// Guards against a send that hangs or fails because every kept connection has carried its attempt.
func TestAttemptIsSentAfterAllKeptConnectionsCarriedIt(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		release := make(chan struct{})
		u := start(t, func(attempt string, _ int) string {
			<-release
			return response(attempt, "ok")
		})
		c := newTestClient()
		var sends sync.WaitGroup
		for range 6 {
			sends.Go(func() { send(t, c, u, method, "a") })
		}
		for len(u.connections()) < 6 {
			time.Sleep(time.Millisecond)
		}
		close(release)
		sends.Wait()
		if body := send(t, c, u, method, "a"); body != "ok" {
			t.Errorf("%s: %q", method, body)
		}
		for i, attempts := range u.connections() {
			if len(attempts) > 1 {
				t.Errorf("%s: connection %d carried %s", method, i, strings.Join(attempts, " "))
			}
		}
	}
}
