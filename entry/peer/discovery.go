package peer

import (
	"time"

	"github.com/radishshelf/radishshelf/membership"
)

const (
	// discoveryTimeout ends the search for upstreams that the configuration names and nobody knows.
	discoveryTimeout = 2 * time.Minute
	// discoveryInterval is the time between two looks at what is missing.
	discoveryInterval = time.Second
)

// discovery makes an entry that has just started ask its peers for the upstreams that the configuration names. The regular
// refresh alone took longer than 70 s for 680 upstreams. A nil discovery asks for nothing. It is not safe for concurrent
// use.
type discovery struct {
	names func() []string
	// startedAt is the first look with names.
	startedAt time.Time
	lastCheck time.Time
	done      bool
}

// SetExpectedUpstreams sets the source of the names of all upstreams, such as the configuration. Call it before the first Sync.
func (p *Participant) SetExpectedUpstreams(names func() []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discovery = &discovery{names: names}
}

// requestMissing notes the upstreams without a report as questions, and reports whether the search goes on.
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
