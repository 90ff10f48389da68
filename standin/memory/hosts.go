package memory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

const opHostList = "host list"

// hostListUpdate is one state of the host list and the time from which it is visible.
type hostListUpdate struct {
	hosts       []hosting.Host
	visibleFrom time.Time
}

// Hosts is a host list whose updates become visible after a lag.
type Hosts struct {
	Faults FaultInjector

	mu      sync.Mutex
	lag     time.Duration
	now     func() time.Time
	updates []hostListUpdate // never empty; the first one is visible
}

func newHosts(opts Options) *Hosts {
	return &Hosts{lag: opts.HostLag, now: opts.Now, updates: []hostListUpdate{{hosts: slices.Clone(opts.Hosts)}}}
}

// Set replaces the list. List returns the new content once the lag has passed.
func (h *Hosts) Set(hosts []hosting.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updates = append(h.updates, hostListUpdate{hosts: slices.Clone(hosts), visibleFrom: h.now().Add(h.lag)})
}

// Actual returns the most recently set list, regardless of the lag.
func (h *Hosts) Actual() []hosting.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.updates[len(h.updates)-1].hosts)
}

// List implements hosting.Hosts.
func (h *Hosts) List(ctx context.Context) ([]hosting.Host, error) {
	if err := h.Faults.beforeCall(ctx, opHostList); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	for len(h.updates) > 1 && !now.Before(h.updates[1].visibleFrom) {
		h.updates = h.updates[1:]
	}
	return slices.Clone(h.updates[0].hosts), nil
}
