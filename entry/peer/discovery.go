package peer

import (
	"time"

	"github.com/radishshelf/radishshelf/membership"
)

const (
	// discoveryTimeout ends the discovery of upstreams that are configured but unknown to all peers.
	discoveryTimeout = 2 * time.Minute
	// discoveryInterval is the time between checks for missing upstreams.
	discoveryInterval = time.Second
)

// discovery lets an entry that has just started ask its peers for the configured upstreams, because the regular refresh
// alone took longer than 70 s for 680 upstreams. A nil discovery requests nothing. It is not safe for concurrent use.
type discovery struct {
	names func() []string
	// startedAt is the time of the first check with a known configuration.
	startedAt time.Time
	lastCheck time.Time
	done      bool
}

// SetExpectedUpstreams sets the function that returns the names of all configured upstreams. Call it before the first
// Sync.
func (p *Participant) SetExpectedUpstreams(names func() []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discovery = &discovery{names: names}
}

// requestMissing requests full reports of the upstreams that have none, and reports whether the discovery continues.
func (d *discovery) requestMissing(members Members, q *reportRequests, now time.Time) bool {
	if d == nil || d.done {
		return false
	}
	if now.Sub(d.lastCheck) < discoveryInterval {
		return true
	}
	d.lastCheck = now
	names := d.names()
	if len(names) == 0 {
		return false // the configuration is not known yet
	}
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	known := make(map[string]bool, len(names))
	for _, u := range members.Upstreams(now) {
		known[u.Name] = u.Status != membership.Candidate
	}
	missing := false
	for _, name := range names {
		if !known[name] {
			missing = true
			q.add(name)
		}
	}
	d.done = !missing || now.Sub(d.startedAt) > discoveryTimeout
	return !d.done
}
