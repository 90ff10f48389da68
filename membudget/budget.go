// Package membudget limits the total memory of buffered responses and request bodies. Each of them has a size limit of its
// own, but a few of the largest would fill the memory of a small host. When the total exceeds the limit, the largest
// buffer that is still being filled is shed, so that one endless stream does not affect the others. A complete buffer can
// be kept: it counts until it is released, and is not shed.
package membudget

import (
	"io"
	"sync"
)

// Budget is a limit in bytes that several reservations share. All methods are safe for concurrent use. Reservations of
// a nil Budget have no limit.
type Budget struct {
	limit  int64
	onShed func(bytes int64)
	mu     sync.Mutex
	used   int64
	// kept is the part of used that is not shed. ending is the size, not part of used, of the reservations that were shed and
	// whose owners have not released them yet: they still hold the memory.
	kept, ending int64
	// changed is signalled when ending changes.
	changed      sync.Cond
	reservations map[*Reservation]struct{}
}

// New returns a budget of limit bytes. onShed is called with the size of each buffer that is shed or not
// admitted.
func New(limit int64, onShed func(bytes int64)) *Budget {
	b := &Budget{limit: limit, onShed: onShed, reservations: map[*Reservation]struct{}{}}
	b.changed.L = &b.mu
	return b
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Admit reports whether a buffer of n bytes fits beside the kept ones. One that does not fit would be shed before it is
// complete, and is reported as shed at once.
func (b *Budget) Admit(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	fits := b.kept+n <= b.limit
	b.mu.Unlock()
	if !fits {
		b.onShed(n)
	}
	return fits
}

// Reservation is the memory of one buffered response or request body.
type Reservation struct {
	budget *Budget
	// shed cancels the request or response to which the reservation belongs.
	shed     func()
	bytes    int64
	kept     bool
	wasShed  bool
	released bool
}

// NewReservation returns an empty reservation. shed is called at most once, when the reservation is shed; it must not
// block.
func (b *Budget) NewReservation(shed func()) *Reservation {
	r := &Reservation{budget: b, shed: shed}
	if b == nil {
		return r
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reservations[r] = struct{}{}
	return r
}

// Add adds n bytes to a reservation that is not kept. While the total exceeds the limit, the largest reservation is shed,
// which may be this one. Its owner has to release it.
func (r *Reservation) Add(n int) {
	b := r.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	var shed []*Reservation
	if !r.released && !r.wasShed {
		r.bytes += int64(n)
		b.used += int64(n)
	}
	for b.used > b.limit {
		largest := b.largest()
		if largest == nil {
			break
		}
		largest.wasShed = true
		b.used -= largest.bytes
		b.ending += largest.bytes
		shed = append(shed, largest)
	}
	if len(shed) > 0 {
		b.changed.Broadcast()
	}
	b.mu.Unlock()
	for _, s := range shed {
		b.onShed(s.bytes)
		s.shed()
	}
}

// reserve adds n bytes, and waits until the memory that others have to give up for them is released. It returns false if
// this reservation was shed.
func (r *Reservation) reserve(n int) bool {
	r.Add(n)
	b := r.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.used+b.ending > b.limit && b.ending > 0 && !r.wasShed {
		b.changed.Wait()
	}
	return !r.wasShed
}

// Keep excludes a complete buffer from being shed. It returns false if the reservation was shed or released before.
func (r *Reservation) Keep() bool {
	b := r.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.released || r.wasShed {
		return false
	}
	if !r.kept {
		r.kept = true
		b.kept += r.bytes
	}
	return true
}

// Release returns the bytes of the reservation to the budget. Calling it again has no effect.
func (r *Reservation) Release() {
	if r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.release(r)
}

// release removes a reservation. The caller holds the lock.
func (b *Budget) release(r *Reservation) {
	if r.released {
		return
	}
	r.released = true
	delete(b.reservations, r)
	if r.wasShed {
		b.ending -= r.bytes
		b.changed.Broadcast()
		return
	}
	b.used -= r.bytes
	if r.kept {
		b.kept -= r.bytes
	}
}

// largest returns the reservation with the most bytes that may be shed, nil if there is none. The caller holds the lock.
func (b *Budget) largest() *Reservation {
	var largest *Reservation
	for r := range b.reservations {
		if r.bytes > 0 && !r.kept && !r.wasShed && (largest == nil || r.bytes > largest.bytes) {
			largest = r
		}
	}
	return largest
}

// Reader returns a reader of src that adds the bytes read to the reservation.
func (r *Reservation) Reader(src io.Reader) io.Reader {
	return &countingReader{src: src, reservation: r}
}

type countingReader struct {
	src         io.Reader
	reservation *Reservation
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.src.Read(p)
	if n > 0 {
		c.reservation.Add(n)
	}
	return n, err
}
