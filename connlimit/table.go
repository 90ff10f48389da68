package connlimit

import (
	"container/list"
	"time"
)

const (
	// connBytes is the memory of a connection without a request: its goroutine, its buffers and its state. Measured are 8 KiB
	// for an idle connection; one that reads a request has a larger stack.
	connBytes = 16 << 10
	// byteCost and lineCost are the memory, in bytes, of a byte and of a line of a head: it exists as received and as parsed,
	// and each line has an entry in the header that arrives and in the one that is passed on.
	byteCost = 2
	lineCost = 256
	// stallTime is how long a caller may take no bytes of its answer before its connection may be closed for another one. It
	// exceeds the usual pauses of a link, such as the repetition of lost packets.
	stallTime = 5 * time.Second
	// readTime is the time from the first attempt to read in which a connection has to show its request before it is closed for
	// a new one. The first bytes of a caller follow the opening of its connection at once; a busy caller or a forwarder
	// needs some milliseconds more. It is short, because new connections wait for it.
	readTime = 20 * time.Millisecond
	// unreadDelay is how long a new connection waits before it looks again whether the server has begun to read the one
	// to be closed, which takes as long as the processor is busy.
	unreadDelay = time.Millisecond
)

// Limits are the bounds on all connections of a table together.
type Limits struct {
	Connections int
	// Bytes is the memory of the connections and the request heads.
	Bytes int64
	// ReadTime replaces readTime; 0 means the default.
	ReadTime time.Duration
}

// ID identifies a connection. It is chosen by the caller of the table and not used again.
type ID uint64

// Table holds the open connections. It is not safe for concurrent use.
type Table struct {
	limits Limits
	conns  map[ID]*conn
	// fresh holds the connections that wait for a complete request and have not sent one yet, proven those that have, and
	// writing those whose answer is being written. In each the longest unchanged is first.
	fresh, proven, writing list.List
	// open is the number and bytes the memory of the connections that are not ending. ending is the number of those that
	// were chosen and have not ended yet.
	open, ending int
	bytes        int64
}

// conn is the state of a connection. It is in one of the lists, or in none while its request is served or it is ending.
type conn struct {
	id     ID
	bytes  int64
	proven bool
	ending bool
	// read is set once the server has begun to read from the connection.
	read  bool
	since time.Time
	in    *list.List
	at    *list.Element
}

// New returns an empty table.
func New(limits Limits) *Table {
	if limits.ReadTime == 0 {
		limits.ReadTime = readTime
	}
	return &Table{limits: limits, conns: map[ID]*conn{}}
}

// Open adds a connection that was accepted. It returns the connections to be closed, which may include the new one.
func (t *Table) Open(id ID, now time.Time) []ID {
	c := &conn{id: id, bytes: connBytes, since: now}
	t.conns[id] = c
	t.open++
	t.bytes += c.bytes
	t.move(c, &t.fresh)
	return t.close(now)
}

// Read records that the server has begun to read from the connection.
func (t *Table) Read(id ID, now time.Time) {
	if c := t.conns[id]; c != nil && !c.read {
		c.read, c.since = true, now
	}
}

// Head adds bytes and lines of a request head before it is parsed. It returns the connections to be closed, which may
// include this one.
func (t *Table) Head(id ID, bytes, lines int, now time.Time) []ID {
	c := t.conns[id]
	if c == nil || c.ending {
		return nil
	}
	cost := int64(byteCost*bytes + lineCost*lines)
	c.bytes += cost
	t.bytes += cost
	return t.close(now)
}

// Serve records that a request is complete and is being served.
func (t *Table) Serve(id ID) {
	if c := t.conns[id]; c != nil {
		t.move(c, nil)
	}
}

// Receive records that the head of a request is complete and its body is still to come. The connection is not protected yet.
func (t *Table) Receive(id ID) {
	if c := t.conns[id]; c != nil {
		t.move(c, t.waiting(c))
	}
}

// Write records that a part of an answer is about to be written.
func (t *Table) Write(id ID, now time.Time) {
	if c := t.conns[id]; c != nil && c.in == nil && !c.ending {
		c.since = now
		t.move(c, &t.writing)
	}
}

// Wrote records that the part of the answer was taken.
func (t *Table) Wrote(id ID) {
	if c := t.conns[id]; c != nil && c.in == &t.writing {
		t.move(c, nil)
	}
}

// Done records that a request was answered. Its head is released, and the connection waits for the next one.
func (t *Table) Done(id ID, now time.Time) {
	c := t.conns[id]
	if c == nil || c.ending {
		return
	}
	t.bytes -= c.bytes - connBytes
	c.bytes, c.proven, c.since = connBytes, true, now
	t.move(c, &t.proven)
}

// Close removes a connection that has ended, with everything it held.
func (t *Table) Close(id ID) {
	c := t.conns[id]
	if c == nil {
		return
	}
	delete(t.conns, id)
	if c.ending {
		t.ending--
		return
	}
	t.remove(c)
}

// Count returns the number of connections that were not chosen to be closed.
func (t *Table) Count() int { return t.open }

// Bytes returns the memory of the connections that were not chosen to be closed.
func (t *Table) Bytes() int64 { return t.bytes }

// Ending returns how many connections were chosen and have not ended yet: they still hold what they held.
func (t *Table) Ending() int { return t.ending }

// waiting returns the list of a connection that waits for a complete request.
func (t *Table) waiting(c *conn) *list.List {
	if c.proven {
		return &t.proven
	}
	return &t.fresh
}

// move puts a connection at the end of a list, or in none. A connection that is there already keeps its place.
func (t *Table) move(c *conn, to *list.List) {
	if c.ending || c.in == to {
		return
	}
	if c.in != nil {
		c.in.Remove(c.at)
	}
	c.in, c.at = to, nil
	if to != nil {
		c.at = to.PushBack(c)
	}
}

// remove takes a connection out of the sums.
func (t *Table) remove(c *conn) {
	t.move(c, nil)
	t.open--
	t.bytes -= c.bytes
}
