// Package connguard applies package connlimit to the listeners of a process: it counts the connections and what they send of
// a request head before the server parses it, and closes those that the table chooses.
package connguard

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/connlimit"
)

// Heads limits the request heads that a listener accepts. A zero field means the default of the guard.
type Heads struct {
	// Bytes is the size of a head with its request line, Timeout the time from its first byte to its end.
	Bytes   int
	Timeout time.Duration
}

// Reason says why a connection was closed.
type Reason string

// Reasons.
const (
	// ReasonCrowded: the connections or their heads exceed what the process can spare.
	ReasonCrowded Reason = "crowded"
	// ReasonHeadTooLarge and ReasonHeadTimeout: the head exceeds the limits on one request.
	ReasonHeadTooLarge Reason = "head too large"
	ReasonHeadTimeout  Reason = "head timeout"
	// ReasonStalled: the answers need memory, and this caller takes no bytes of its own.
	ReasonStalled Reason = "stalled"
)

// Options configure a guard.
type Options struct {
	Limits connlimit.Limits
	// Heads returns the limits on heads in force; it is called for each request.
	Heads func() Heads
	// OnClose is called for each connection that the guard closes; it must not block.
	OnClose func(reason Reason)
}

// Guard bounds the connections of one or several listeners together. It is safe for concurrent use.
type Guard struct {
	options Options
	// maxEnding is how many closed connections may still hold their memory before further ones are accepted.
	maxEnding int

	mu     sync.Mutex
	ended  sync.Cond
	table  *connlimit.Table
	conns  map[connlimit.ID]*conn
	lastID connlimit.ID
}

// endingFraction is the part of the connections that may be ending at a time.
const endingFraction = 1.0 / 4

// New returns a guard without connections.
func New(options Options) *Guard {
	g := &Guard{
		options: options, table: connlimit.New(options.Limits), conns: map[connlimit.ID]*conn{},
		maxEnding: max(1, int(endingFraction*float64(options.Limits.Connections))),
	}
	g.ended.L = &g.mu
	return g
}

// Count returns the number of open connections.
func (g *Guard) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Count()
}

// Bytes returns the memory that the connections and their heads are counted with.
func (g *Guard) Bytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Bytes()
}

// CloseStalled closes the connections whose callers take no bytes of their answers.
func (g *Guard) CloseStalled() {
	g.mu.Lock()
	victims := g.take(g.table.Stalled(time.Now()))
	g.mu.Unlock()
	g.closeAll(victims, ReasonStalled)
}

// open adds a connection once the closed ones have released enough, and the one to be closed next has had time to show a
// request. Meanwhile new connections wait in the queue of the system. It returns nil for one that was refused.
func (g *Guard) open(inner net.Conn) *conn {
	g.mu.Lock()
	for g.table.Ending() > g.maxEnding {
		g.ended.Wait()
	}
	for delay := g.table.Delay(time.Now()); delay > 0; delay = g.table.Delay(time.Now()) {
		g.mu.Unlock()
		time.Sleep(delay)
		g.mu.Lock()
	}
	g.lastID++
	c := &conn{Conn: inner, guard: g, id: g.lastID}
	g.conns[c.id] = c
	victims := g.take(g.table.Open(c.id, time.Now()))
	g.mu.Unlock()
	if !slices.Contains(victims, c) {
		g.closeAll(victims, ReasonCrowded)
		return c
	}
	c.refuse(http.StatusServiceUnavailable)
	g.closeAll(victims, ReasonCrowded)
	_ = c.Close() // the server, which would close it, never gets it
	return nil
}

// addHead counts a part of a head. It returns false if this connection was chosen to be closed.
func (g *Guard) addHead(c *conn, bytes, lines int) bool {
	g.mu.Lock()
	victims := g.take(g.table.Head(c.id, bytes, lines, time.Now()))
	g.mu.Unlock()
	g.closeAll(victims, ReasonCrowded)
	return !slices.Contains(victims, c)
}

// take returns the connections with the given IDs. The caller holds the lock.
func (g *Guard) take(ids []connlimit.ID) []*conn {
	var list []*conn
	for _, id := range ids {
		list = append(list, g.conns[id])
	}
	return list
}

// closeAll closes connections under the server, which then ends their requests and closes them itself.
func (g *Guard) closeAll(list []*conn, reason Reason) {
	for _, c := range list {
		_ = c.Conn.Close() // already closed if the caller has left
		g.options.OnClose(reason)
	}
}

// update applies an event to the table.
func (g *Guard) update(event func(t *connlimit.Table)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	event(g.table)
}

// forget removes a connection that has ended.
func (g *Guard) forget(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c.id)
	g.table.Close(c.id)
	g.ended.Broadcast()
}
