package connguard

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/connlimit"
)

const (
	// headSlack is how much more than a head the server may have read with it, its read buffer.
	headSlack = 4 << 10
	// writeBytes is the part of an answer after which a caller that takes bytes slowly counts as taking them.
	writeBytes = 64 << 10
	// refusalTimeout bounds the writing of a refusal, for which there is room in an unused send buffer. Bytes that a refused
	// caller still sends would reset the connection before it reads the refusal, so they are read and dropped for
	// refusalLinger, as long as net/http waits, and up to refusalBytes, as many as net/http reads of a refused body.
	refusalTimeout = 100 * time.Millisecond
	refusalLinger  = 500 * time.Millisecond
	refusalBytes   = 256 << 10
	// crowdedRetrySeconds is when a caller is told to come back that found no connection free.
	crowdedRetrySeconds = 1
)

// conn counts what a connection sends until its request is complete.
type conn struct {
	net.Conn
	guard *Guard
	id    connlimit.ID
	close sync.Once
	// read is set by the first Read, which the server's other reads follow.
	read bool

	mu sync.Mutex
	// busy is set from the end of a head until its request is answered. headBytes counts the bytes of the head, and limits are
	// those at its first byte.
	busy      bool
	headBytes int
	limits    Heads
	// requested is the read deadline that the server has set, and head the one of the head in progress; zero means none.
	requested, head time.Time
}

// Read implements net.Conn. Bytes of a head are counted before the server gets them. io.EOF makes the server close the
// connection without an answer of its own.
func (c *conn) Read(p []byte) (int, error) {
	if !c.read {
		c.read = true
		c.guard.update(func(t *connlimit.Table) { t.Read(c.id, time.Now()) })
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		counted, tooLarge := c.count(n)
		switch {
		case tooLarge:
			c.reject(http.StatusRequestHeaderFieldsTooLarge, ReasonHeadTooLarge, p)
			return 0, io.EOF
		case counted && !c.guard.addHead(c, n, bytes.Count(p[:n], []byte{'\n'})):
			return 0, io.EOF
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.headTimedOut() {
		c.reject(http.StatusRequestTimeout, ReasonHeadTimeout, p)
	}
	return n, err
}

// count adds n bytes that were read. It reports whether they belong to a head, and whether the head exceeds its limit.
func (c *conn) count(n int) (counted, tooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return false, false
	}
	if c.headBytes == 0 {
		c.limits = c.guard.options.Heads()
		if c.limits.Timeout > 0 {
			c.head = time.Now().Add(c.limits.Timeout)
			_ = c.applyDeadline() // fails on a closed connection, like the next read
		}
	}
	c.headBytes += n
	return true, c.limits.Bytes > 0 && c.headBytes > c.limits.Bytes+headSlack
}

// headTimedOut reports whether a head was begun and its time is over.
func (c *conn) headTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.busy && c.headBytes > 0 && !c.head.IsZero() && !time.Now().Before(c.head)
}

// SetReadDeadline implements net.Conn. The server sets a deadline before each head and clears it after.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested = deadline
	if deadline.IsZero() {
		c.head = time.Time{}
	}
	return c.applyDeadline()
}

// applyDeadline sets the earlier one of the two deadlines. The caller holds the lock.
func (c *conn) applyDeadline() error {
	deadline := c.requested
	if !c.head.IsZero() && (deadline.IsZero() || c.head.Before(deadline)) {
		deadline = c.head
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Write implements net.Conn. It writes in parts, so that a caller that takes bytes is told from one that takes none.
func (c *conn) Write(p []byte) (written int, err error) {
	for {
		part := p[written:min(len(p), written+writeBytes)]
		c.guard.update(func(t *connlimit.Table) { t.Write(c.id, time.Now()) })
		n, err := c.Conn.Write(part)
		c.guard.update(func(t *connlimit.Table) { t.Wrote(c.id) })
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite lets the server end an answer before it closes the connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.close.Do(func() { c.guard.forget(c) })
	return err
}

// reject answers a head that will not be served, and drops what still arrives into buf. No answer of the server is in progress
// then, since it reads a head after it has written the answer to the request before.
func (c *conn) reject(status int, reason Reason, buf []byte) {
	c.refuse(status)
	c.guard.options.OnClose(reason)
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(refusalLinger)) != nil {
		return
	}
	for dropped := 0; dropped < refusalBytes; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		dropped += n
	}
}

// refuse writes an answer that says that no request was run.
func (c *conn) refuse(status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", crowdedRetrySeconds)
	}
	text := http.StatusText(status)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) // fails on a closed connection, like the write
	const response = "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n" +
		"Connection: close\r\n\r\n%s"
	_, _ = fmt.Fprintf(c.Conn, response,
		status, text, retry, len(text), text)
}

// begin records that a head is complete. receiving means that the body is still to come. It returns false if the connection
// was chosen to be closed: a head that arrived in one piece with the request before it is counted only now.
func (c *conn) begin(r *http.Request, receiving bool) bool {
	c.mu.Lock()
	uncounted := c.headBytes == 0
	c.busy = true
	if !c.head.IsZero() {
		c.head = time.Time{}
		_ = c.applyDeadline() // fails on a closed connection, like the next read
	}
	c.mu.Unlock()
	if uncounted {
		if size, lines := headSize(r.Header); !c.guard.addHead(c, size, lines) {
			return false
		}
	}
	c.guard.update(func(t *connlimit.Table) {
		if receiving {
			t.Receive(c.id)
		} else {
			t.Serve(c.id)
		}
	})
	return true
}

// headSize returns the bytes and lines of a parsed head.
func headSize(header http.Header) (size, lines int) {
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
			lines++
		}
	}
	return size, lines
}

// finish records that a request was answered.
func (c *conn) finish() {
	c.mu.Lock()
	c.busy, c.headBytes, c.head = false, 0, time.Time{}
	c.mu.Unlock()
	c.guard.update(func(t *connlimit.Table) { t.Done(c.id, time.Now()) })
}
