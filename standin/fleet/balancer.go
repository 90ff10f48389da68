package fleet

import (
	"sync/atomic"
	"testing"
	"time"
)

// balancerInterval is the interval of the readiness checks. It is well below the readiness delay of the entries, as with a
// real load balancer.
const balancerInterval = 50 * time.Millisecond

// Balancer is a round-robin load balancer over the ready entries, like the platform's.
type Balancer struct {
	ready []atomic.Bool
	next  atomic.Int64
	fleet *Fleet
}

// NewBalancer starts a balancer that checks the readiness of the entries until the test ends.
func NewBalancer(t testing.TB, f *Fleet) *Balancer {
	b := &Balancer{fleet: f, ready: make([]atomic.Bool, len(f.Entries))}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	for i, e := range f.Entries {
		b.ready[i].Store(isReady(e.StatusAddress))
		go b.watch(i, e.StatusAddress, stop)
	}
	return b
}

// watch checks the readiness of an entry until stop closes.
func (b *Balancer) watch(i int, status string, stop <-chan struct{}) {
	ticker := time.NewTicker(balancerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			b.ready[i].Store(isReady(status))
		}
	}
}

// Pick returns the next ready entry, or any entry if none is ready.
func (b *Balancer) Pick() *Entry {
	start := int(b.next.Add(1))
	for i := range b.ready {
		index := (start + i) % len(b.ready)
		if b.ready[index].Load() {
			return b.fleet.Entries[index]
		}
	}
	return b.fleet.Entries[start%len(b.ready)]
}
