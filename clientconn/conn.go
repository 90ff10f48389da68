package clientconn

import (
	"context"
	"io"
	"net"
	"sync"
)

// DialFunc opens a connection, like the DialContext of an http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialFunc returns a dial function whose connections are of type *Conn. A nil dial means that of a zero net.Dialer.
func NewDialFunc(dial DialFunc) DialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c, closed: make(chan struct{})}, nil
	}
}

// Conn is a connection of an HTTP client. It carries one request at a time.
type Conn struct {
	net.Conn
	closeOnce sync.Once
	// closed is closed with the connection.
	closed chan struct{}

	// writing is held during each write.
	writing sync.Mutex
	// writeErr is why a request could not be sent; guarded by writing.
	writeErr error

	mu sync.Mutex
	// latest is the latest request and its response, nil before the first; guarded by mu, as what it points to.
	latest *exchange
}

// exchange is a request and its response on a connection.
type exchange struct {
	// written is closed once net/http has written the request or given up.
	written chan struct{}
	// accepted is closed once the response was accepted.
	accepted chan struct{}
	// endsBody is set if the end of the connection ends the response.
	endsBody bool
	// heads reads the head of the response and those of interim ones.
	heads headScanner
}

// begin is called before a request is written. It waits until the response to the request before was accepted or the
// connection is closed: net/http hands a connection to the next request before it returns a response without a body.
// Closing the connection instead could lose that response.
func (c *Conn) begin(ctx context.Context) *exchange {
	c.mu.Lock()
	before := c.latest
	c.mu.Unlock()
	if before != nil {
		select {
		case <-before.accepted:
		case <-c.closed:
		case <-ctx.Done():
		}
	}
	e := &exchange{written: make(chan struct{}), accepted: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest = e
	return e
}

// finishWrite is called once for each exchange, when its request was written or could not be.
func (c *Conn) finishWrite(e *exchange, err error) {
	c.recordWrite(err)
	close(e.written)
}

// accept is called at most once for each exchange, before the body of its response is read.
func (c *Conn) accept(e *exchange, endsBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.endsBody = endsBody
	close(e.accepted)
}

func (c *Conn) head(e *exchange) Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return e.heads.Head
}

func (c *Conn) recordWrite(err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. If the end of the connection ends a response, it is returned once the request has been sent;
// if the request could not be sent, the error is an *EndError.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	e, endsBody := c.received(p[:n])
	if err == io.EOF && endsBody {
		if sendErr := c.awaitSent(e); sendErr != nil {
			return n, &EndError{Err: sendErr}
		}
	}
	return n, err
}

// received records bytes of the latest exchange. endsBody is set if the end of the connection ends its response.
func (c *Conn) received(p []byte) (e *exchange, endsBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil {
		return nil, false
	}
	c.latest.heads.scan(p)
	return c.latest, c.latest.endsBody
}

// awaitSent returns nil once the request has been sent, and an error if it could not be. The wait ends with the connection,
// which net/http closes when the context of the request ends.
func (c *Conn) awaitSent(e *exchange) error {
	var closed error
	select {
	case <-e.written:
	case <-c.closed:
		closed = net.ErrClosed
	}
	c.writing.Lock() // net/http flushes the last bytes after it has reported the request as written
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return c.writeErr
	}
	return closed
}

// IsClosed reports whether Close was called.
func (c *Conn) IsClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
