package upstreamlimit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/radishshelf/radishshelf/upstreams"
)

// Change describes a limit that was named, changed or lifted.
type Change struct {
	Upstream upstreams.Incarnation
	Service  string
	// From and To are requests a second; 0 means no limit.
	From, To float64
	// Peer is the host that passed the limit on; "" if this host heard it itself.
	Peer string
	// Cold is how long the upstream stays cold, if that is the reason of the change; otherwise 0.
	Cold time.Duration
}

// statement is what an upstream said of its limit at a time.
type statement struct {
	service   string
	perSecond float64
	heardAt   time.Time
	peer      string
}

// Hear records what a response of an upstream says of its limit: 0 if it names none. Only the response to a request that
// was sent after the last statement can raise or lift a limit, because responses may overtake each other; requestedAt is
// zero if the time of the request is not known.
func (t *Table) Hear(u upstreams.Entry, perSecond float64, requestedAt, now time.Time) (Change, bool) {
	i := u.Incarnation()
	known, ok := t.limits[i]
	if !ok || known.heardAt.IsZero() { // without a record, or known only because the upstream is cold
		if perSecond == 0 {
			return Change{}, false
		}
		return t.set(i, statement{service: u.Service, perSecond: perSecond, heardAt: now})
	}
	last := known.heardAt
	if known.peer != "" {
		last = last.Add(clockError)
	}
	if requestedAt.After(last) || isStricter(perSecond, known.perSecond) {
		return t.set(i, statement{service: u.Service, perSecond: perSecond, heardAt: now})
	}
	return Change{}, false
}

// hearFromPeer records a statement that another host has heard. The newer statement holds, and of two that may be equally
// old the stricter one.
func (t *Table) hearFromPeer(i upstreams.Incarnation, s statement) (Change, bool) {
	known, ok := t.limits[i]
	switch {
	case !ok && s.perSecond == 0:
		return Change{}, false
	case !ok, s.heardAt.After(known.heardAt.Add(clockError)),
		isStricter(s.perSecond, known.perSecond) && s.heardAt.After(known.heardAt.Add(-clockError)):
		return t.set(i, s)
	}
	return Change{}, false
}

// isStricter reports whether limit a allows less than limit b; 0 means no limit.
func isStricter(a, b float64) bool { return a > 0 && (b == 0 || a < b) }

// set makes a statement the one that holds, and returns the change if it differs from the one before.
func (t *Table) set(i upstreams.Incarnation, s statement) (Change, bool) {
	l, ok := t.limits[i]
	if !ok {
		if len(t.limits) >= maxLimits {
			return Change{}, false
		}
		l = newLimit(s.service, s.heardAt)
		t.limits[i] = l
	}
	change := Change{Upstream: i, Service: s.service, From: l.perSecond, To: s.perSecond, Peer: s.peer}
	l.service, l.perSecond, l.heardAt, l.peer = s.service, s.perSecond, s.heardAt, s.peer
	if change.From == change.To {
		return change, false
	}
	if change.From == 0 && !l.bound.cold {
		l.empty(s.heardAt)
	}
	t.dividedAt = time.Time{}
	return change, true
}

func newLimit(service string, now time.Time) *limit {
	l := &limit{service: service}
	l.empty(now)
	return l
}

// empty takes away what a host could have kept: the requests just sent count.
func (l *limit) empty(now time.Time) {
	l.bucket = rate.NewLimiter(minRate, 1)
	l.bucket.ReserveN(now, 1)
	l.share = 0
}

// minRate replaces a rate of 0, with which a bucket would never earn back what was sent beyond it.
const minRate rate.Limit = 1e-6

// prune forgets limits that no longer matter.
func (t *Table) prune(now time.Time) {
	t.pruneContacts(now)
	for i, l := range t.limits {
		if now.Sub(l.coldUntil) > warmTime {
			l.coldUntil = time.Time{}
		}
		if now.Sub(l.heardAt) > retention && now.Sub(l.coldUntil) > retention && (l.perSecond == 0 || !t.view.IsRegistered(i)) {
			delete(t.limits, i)
		}
	}
}
