package upstreamlimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/radishshelf/radishshelf/upstreams"
)

// View tells a Table what its host knows of other hosts and upstreams.
type View interface {
	// Hosts returns the live hosts without this one, in any order.
	Hosts() []string
	// IsRegistered reports whether an incarnation of an upstream has an entry.
	IsRegistered(i upstreams.Incarnation) bool
}

// Table holds the limits that are in force and the share of one host in each.
type Table struct {
	host   string
	view   View
	limits map[upstreams.Incarnation]*limit
	// own is the demand that the other hosts know of this one, and peers holds the demand of each of them.
	own demand
	// seesHeartbeats is set once a heartbeat of this host has come back: it then gets those of the others, too.
	seesHeartbeats bool
	peers          map[string]*peerDemand
	// dividedAt is when the shares were last computed; zero if a limit has changed since.
	dividedAt time.Time
}

// limit is what is known of the limit of one incarnation of an upstream.
type limit struct {
	service string
	// perSecond is 0 once the upstream has ceased to name a limit.
	perSecond float64
	// heardAt is when the upstream said so, and peer the host that passed it on; "" if this host heard it itself.
	heardAt time.Time
	peer    string
	// share is the part of perSecond that this host may use, and bucket limits its requests to it.
	share  float64
	bucket *rate.Limiter
	// callers and background measure the requests that this host sent or would have sent, and sent counts those that it sent
	// since the last call of Usage.
	callers, background meter
	sent                int
}

// NewTable returns the table of a host that knows no limits.
func NewTable(host string, view View) *Table {
	return &Table{
		host: host, view: view, limits: map[upstreams.Incarnation]*limit{}, peers: map[string]*peerDemand{},
	}
}

// inForce returns the limit of an upstream, with a current share; nil if it has none.
func (t *Table) inForce(u upstreams.Entry, now time.Time) *limit {
	if len(t.limits) == 0 {
		return nil
	}
	l, ok := t.limits[u.Incarnation()]
	if !ok || l.perSecond == 0 {
		return nil
	}
	t.divide(now)
	return l
}

// Allowed returns how many requests this host may send to an upstream now; math.MaxInt if the upstream has no limit.
func (t *Table) Allowed(u upstreams.Entry, now time.Time) int {
	l := t.inForce(u, now)
	if l == nil {
		return math.MaxInt
	}
	if l.share == 0 {
		return 0
	}
	return max(int(l.bucket.TokensAt(now)+tokenRounding), 0)
}

// Limited reports whether an upstream has a limit.
func (t *Table) Limited(u upstreams.Entry, now time.Time) bool { return t.inForce(u, now) != nil }

// Share returns how many requests a second this host may send to an upstream, and when it may send the next one. limited
// is false if the upstream has no limit.
func (t *Table) Share(u upstreams.Entry, now time.Time) (perSecond float64, next time.Time, limited bool) {
	l := t.inForce(u, now)
	if l == nil {
		return 0, now, false
	}
	if l.share == 0 {
		return 0, now.Add(maxDelay), true
	}
	missing := max(1-tokenRounding-l.bucket.TokensAt(now), 0) / l.share
	return l.share, now.Add(time.Duration(min(missing, maxDelay.Seconds()) * float64(time.Second))), true
}

// Sent counts a request that is about to be sent to an upstream. One that is sent although Allowed returns 0 defers the
// next ones.
func (t *Table) Sent(u upstreams.Entry, now time.Time) {
	if l := t.inForce(u, now); l != nil {
		l.bucket.ReserveN(now, 1)
		l.sent++
	}
}

// Want counts a request that this host could send to an upstream, whether it is sent there or not. A request that may go to
// one of n upstreams counts 1/n at each of them. background is set for requests of jobs.
func (t *Table) Want(u upstreams.Entry, n float64, background bool, now time.Time) {
	l := t.inForce(u, now)
	switch {
	case l == nil:
	case background:
		l.background.add(n, now)
	default:
		l.callers.add(n, now)
	}
}

// Len returns the number of limits in force.
func (t *Table) Len() int {
	n := 0
	for _, l := range t.limits {
		if l.perSecond > 0 {
			n++
		}
	}
	return n
}
