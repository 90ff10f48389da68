package connlimit

import (
	"container/list"
	"time"
)

// close chooses connections until the bounds hold again. Without a connection that may be closed the bounds are exceeded by
// requests that are being served; then the latest connection has been closed already, since it waits.
func (t *Table) close(now time.Time) []ID {
	var chosen []ID
	for t.open > t.limits.Connections || t.bytes > t.limits.Bytes {
		var c *conn
		if t.open > t.limits.Connections {
			c = t.leastUseful(now)
		} else {
			c = t.largest(now)
		}
		if c == nil {
			break
		}
		t.end(c)
		chosen = append(chosen, c.id)
	}
	return chosen
}

// end takes a connection out of the sums until Close.
func (t *Table) end(c *conn) {
	t.remove(c)
	c.ending = true
	t.ending++
}

// leastUseful returns the connection that is closed for a new one: first one whose caller takes no bytes of its answer,
// then the longest waiting one of the larger group of the fresh and the proven. So neither many new connections nor many
// idle ones displace all of the other group. The latest connection goes only if no other one waits.
func (t *Table) leastUseful(now time.Time) *conn {
	if c := first(&t.writing); c != nil && t.stalled(c, now) {
		return c
	}
	if t.proven.Len() > t.fresh.Len() || t.fresh.Len() == 1 && t.proven.Len() > 0 {
		return first(&t.proven)
	}
	return first(&t.fresh)
}

// Delay returns how long the next connection has to wait before it asks again: until the connection that is closed for it has
// had its time to show a request. It is 0 if there is room, or if no connection may be closed.
func (t *Table) Delay(now time.Time) time.Duration {
	if t.open < t.limits.Connections {
		return 0
	}
	c := t.leastUseful(now)
	switch {
	case c == nil:
		return 0
	case !c.read:
		return unreadDelay
	default:
		return max(0, t.limits.ReadTime-now.Sub(c.since))
	}
}

// largest returns the connection that holds the most memory among those that may be closed, the longest waiting one of
// several.
func (t *Table) largest(now time.Time) *conn {
	var largest *conn
	consider := func(c *conn) {
		if largest == nil || c.bytes > largest.bytes {
			largest = c
		}
	}
	for _, group := range []*list.List{&t.fresh, &t.proven} {
		for e := group.Front(); e != nil; e = e.Next() {
			consider(e.Value.(*conn))
		}
	}
	for e := t.writing.Front(); e != nil && t.stalled(e.Value.(*conn), now); e = e.Next() {
		consider(e.Value.(*conn))
	}
	return largest
}

// Stalled chooses all connections whose callers have taken no bytes of their answers for stallTime. The process asks when
// the answers need memory.
func (t *Table) Stalled(now time.Time) []ID {
	var chosen []ID
	for c := first(&t.writing); c != nil && t.stalled(c, now); c = first(&t.writing) {
		t.end(c)
		chosen = append(chosen, c.id)
	}
	return chosen
}

func (t *Table) stalled(c *conn, now time.Time) bool { return now.Sub(c.since) >= stallTime }

func first(group *list.List) *conn {
	if e := group.Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}
