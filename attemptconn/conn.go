package attemptconn

import (
	"net"
	"slices"

	"github.com/radishshelf/radishshelf/clientconn"
)

// maxAttemptsPerConn is the number of attempts after which a connection is replaced, which bounds the memory for their
// hashes: 2 KiB a connection.
const maxAttemptsPerConn = 256

// conn is a connection that knows which attempts it has carried. It carries one request at a time, so claim needs no
// lock.
type conn struct {
	*clientconn.Conn
	// attempts holds the hashes of the attempts that were sent over the connection.
	attempts []uint64
}

// NetConn returns the connection below, as tls.Conn does.
func (c *conn) NetConn() net.Conn { return c.Conn }

// claim records an attempt that is about to be sent. It returns false if the connection must not carry it.
func (c *conn) claim(attempt uint64) bool {
	if c.IsClosed() || len(c.attempts) >= maxAttemptsPerConn || slices.Contains(c.attempts, attempt) {
		return false
	}
	c.attempts = append(c.attempts, attempt)
	return true
}
