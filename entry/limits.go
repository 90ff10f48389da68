package entry

import (
	"net"
	"net/http"
	"sync"

	"github.com/radishshelf/radishshelf/outcome"
)

// requestCount bounds the requests in progress and tells when the last one ended.
type requestCount struct {
	mu    sync.Mutex
	limit int
	count int
}

func (c *requestCount) enter() *outcome.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count >= c.limit {
		return refuseLater(outcome.KindOverloaded, http.StatusServiceUnavailable, "this entry has too many requests in progress",
			"send the request again", retryBusy)
	}
	c.count++
	return nil
}

func (c *requestCount) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
}

func (c *requestCount) inProgress() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// limitedListener bounds the open connections of a port; further ones wait in the listen queue of the kernel.
type limitedListener struct {
	net.Listener
	slots chan struct{}
	once  sync.Once
	done  chan struct{}
}

func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
