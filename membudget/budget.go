// Package membudget bounds the memory that answers and bodies in the making take together. Each of them has a bound of its
// own, but a handful of the largest would fill a small host. Over the limit the largest one is given up, so that one sender
// without end does not cost the others anything.
package membudget

import (
	"io"
	"sync"
)

// Budget is a number of bytes that several holders share. All methods are safe for concurrent use. A nil Budget has no limit.
type Budget struct {
	limit        int64
	onShed       func(bytes int64)
	mu           sync.Mutex
	used         int64
	reservations map[*Reservation]struct{}
}

// New returns a budget of limit bytes. onShed is told the size of each holder that is given up.
func New(limit int64, onShed func(bytes int64)) *Budget {
	return &Budget{limit: limit, onShed: onShed, reservations: map[*Reservation]struct{}{}}
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Reservation is an answer or a body in the making.
type Reservation struct {
	budget *Budget
	// shed ends what the holder stands for.
	shed     func()
	bytes    int64
	released bool
}

// NewReservation returns a holder without bytes. shed is called at most once, when the holder is given up; it must not block.
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

// Add counts n more bytes of the holder. Over the limit the largest holders are given up, this one or others.
func (r *Reservation) Add(n int) {
	b := r.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	var shed []*Reservation
	if !r.released {
		r.bytes += int64(n)
		b.used += int64(n)
	}
	for b.used > b.limit {
		largest := b.largest()
		if largest == nil {
			break
		}
		b.release(largest)
		shed = append(shed, largest)
	}
	b.mu.Unlock()
	for _, s := range shed {
		b.onShed(s.bytes)
		s.shed()
	}
}

// Release gives the bytes of the holder back.
func (r *Reservation) Release() {
	if r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.release(r)
}

// release takes a holder out. The caller holds the lock.
func (b *Budget) release(r *Reservation) {
	if r.released {
		return
	}
	r.released = true
	b.used -= r.bytes
	delete(b.reservations, r)
}

// largest returns the holder with the most bytes. The caller holds the lock.
func (b *Budget) largest() *Reservation {
	var largest *Reservation
	for r := range b.reservations {
		if r.bytes > 0 && (largest == nil || r.bytes > largest.bytes) {
			largest = r
		}
	}
	return largest
}

// Reader returns r with its bytes counted by the holder.
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
