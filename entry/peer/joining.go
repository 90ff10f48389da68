package peer

import (
	"time"

	"github.com/radishshelf/radishshelf/membership"
)

const (
	// joinTime ends the search for upstreams that the configuration names and nobody knows.
	joinTime = 2 * time.Minute
	// joinInterval is the time between two looks at what is missing.
	joinInterval = time.Second
)

// joining makes an entry that has just started ask its peers for the upstreams that the configuration names. The regular
// refresh alone took longer than 70 s for 680 upstreams. A nil joining asks for nothing. It is not safe for concurrent
// use.
type joining struct {
	names func() []string
	// since is the first look with names.
	since time.Time
	last  time.Time
	done  bool
}

// SetExpectedUpstreams sets the source of the names of all upstreams, such as the configuration. Call it before the first Sync.
func (p *Participant) SetExpectedUpstreams(names func() []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joining = &joining{names: names}
}

// lack notes the upstreams without a report as questions, and reports whether the search goes on.
func (j *joining) lack(members Members, q *questions, now time.Time) bool {
	if j == nil || j.done {
		return false
	}
	if now.Sub(j.last) < joinInterval {
		return true
	}
	j.last = now
	names := j.names()
	if len(names) == 0 {
		return false // the configuration is not known yet
	}
	if j.since.IsZero() {
		j.since = now
	}
	known := make(map[string]bool, len(names))
	for _, u := range members.Upstreams(now) {
		known[u.Name] = u.Status != membership.Candidate
	}
	missing := false
	for _, name := range names {
		if !known[name] {
			missing = true
			q.lack(name)
		}
	}
	j.done = !missing || now.Sub(j.since) > joinTime
	return !j.done
}
