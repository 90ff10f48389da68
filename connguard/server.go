package connguard

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/radishshelf/radishshelf/connlimit"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Listener returns a listener whose connections belong to the guard. The server that serves it has to be prepared by Server.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.open(inner); c != nil {
			return c, nil
		}
	}
}

// Server makes a server report to the guard which requests are complete and which are answered. It replaces the hooks
// ConnContext and ConnState and wraps the handler.
func (g *Guard) Server(s *http.Server) *http.Server {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.finish()
		}
	}
	s.Handler = guardHandler(s.Handler)
	return s
}

// guardHandler records the end of each head and each body.
func guardHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.begin(r, r.ContentLength != 0) {
			panic(http.ErrAbortHandler) // ends the connection without a line in the log
		}
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		// The server looks at the body of its own request, so the body is replaced in a copy.
		tracked := r.WithContext(r.Context())
		tracked.Body = &body{ReadCloser: r.Body, left: r.ContentLength, received: func() {
			c.guard.update(func(t *connlimit.Table) { t.Serve(c.id) })
		}}
		next.ServeHTTP(w, tracked)
	})
}

// body calls received once the body is complete, or its reader has given up.
type body struct {
	io.ReadCloser
	// left is what is missing of the declared length, negative for a body of unknown length.
	left     int64
	received func()
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.received == nil {
		return n, err
	}
	if b.left > 0 {
		b.left -= int64(n)
	}
	if err != nil || b.left == 0 {
		b.received()
		b.received = nil
	}
	return n, err
}
