package clientconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Tracker follows a request to the connection that carries it. net/http may send a request again over another connection
// after one failed; the latest one counts.
type Tracker struct {
	mu   sync.Mutex
	conn net.Conn
	// checked is the Conn below conn and exchange the request on it; nil if there is none.
	checked  *Conn
	exchange *exchange
}

// Track returns a tracker and the context with which its request must be sent, by an http.Transport that dials with the
// function of NewDialFunc.
func Track(ctx context.Context) (context.Context, *Tracker) {
	t := &Tracker{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { t.begin(ctx, info.Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c, e := t.latest(); c != nil {
				c.finishWrite(e, info.Err)
			}
		},
	}), t
}

func (t *Tracker) begin(ctx context.Context, conn net.Conn) {
	var e *exchange
	c := find(conn)
	if c != nil {
		e = c.begin(ctx)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, t.checked, t.exchange = conn, c, e
}

func (t *Tracker) latest() (*Conn, *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checked, t.exchange
}

// Accept is called with the response to the request, once it was checked and before its body is read. Until then, or until
// CloseConn, the connection carries no other request.
func (t *Tracker) Accept(resp *http.Response) {
	if c, e := t.latest(); c != nil {
		c.accept(e, resp.ContentLength < 0 && len(resp.TransferEncoding) == 0)
	}
}

// Head returns what net/http does not report of the responses so far.
func (t *Tracker) Head() Head {
	if c, e := t.latest(); c != nil {
		return c.head(e)
	}
	return Head{}
}

// CloseConn is called instead of Accept if there is no response.
func (t *Tracker) CloseConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close() // nothing more is expected of it
	}
}

// find returns the Conn below a connection, or nil if there is none. Below TLS none is looked for: TLS marks the end of the
// data itself, so that a reset never looks like it.
func find(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case *tls.Conn:
			return nil
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}
