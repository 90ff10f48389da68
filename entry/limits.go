package entry

import (
	"net"
	"net/http"
	"sync"

	"github.com/radishshelf/radishshelf/outcome"
)

// requestLimiter limits the requests in progress and counts them.
type requestLimiter struct {
	mu    sync.Mutex
	limit int
	count int
}

func (l *requestLimiter) acquire() *outcome.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count >= l.limit {
		return newRetryableRefusal(outcome.KindOverloaded, http.StatusServiceUnavailable, "this entry has too many requests in progress",
			"repeat the request", retryAfterBusy)
	}
	l.count++
	return nil
}

func (l *requestLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count--
}

func (l *requestLimiter) inProgress() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

// limitedListener limits the open connections of a listener. Further connections wait in the kernel's accept queue.
type limitedListener struct {
	net.Listener
	slots chan struct{}
	once  sync.Once
	done  chan struct{}
}

func newLimitedListener(l net.Listener, limit int) net.Listener {
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

// limitedConn frees its slot in the listener when it is closed.
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
