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
	// ColdBound returns what the cold upstreams of a service take.
	ColdBound(service string) ColdBound
	// ReadyCount returns how many upstreams of a service accept work.
	ReadyCount(service string) int
}

// Table holds the limits that are in force and the share of one host in each.
type Table struct {
	host   string
	view   View
	limits map[upstreams.Incarnation]*limit
	// services measures the demand of this host for the services whose cold upstreams have a bound.
	services map[string]*serviceDemand
	// contacts holds the upstreams of these services that this host has sent to.
	contacts map[upstreams.Incarnation]*contact
	// own and ownServices are the demand that the other hosts know of this one, and peers holds that of each of them.
	own, ownServices demand
	// seesHeartbeats is set once a heartbeat of this host has come back, at firstSeenAt: it then gets those of the others,
	// too. The latest one that has come back was written at seenAt.
	seesHeartbeats      bool
	firstSeenAt, seenAt time.Time
	peers               map[string]*peerDemand
	// claimsTold is how many claims this host has told while there were too many for one report.
	claimsTold int
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
	// coldUntil is until when the upstream is cold, as far as it is known; zero if it has not been.
	coldUntil time.Time
	// toldUntil is the part of coldUntil that the upstream itself named, and unreachable is set while it is unknown whether it
	// is up.
	toldUntil   time.Time
	unreachable bool
	// bound is what is in force: the limit that the upstream named, or its bound while it is cold if that is lower.
	bound bound
	// share is the part of the bound that this host may use, and bucket limits its requests to it.
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
		services: map[string]*serviceDemand{}, contacts: map[upstreams.Incarnation]*contact{},
	}
}

// inForce returns the limit of an upstream, with a current share; nil if it has none.
func (t *Table) inForce(u upstreams.Entry, now time.Time) *limit {
	if len(t.limits) == 0 {
		return nil
	}
	l, ok := t.limits[u.Incarnation()]
	if !ok || !l.mayApply() {
		return nil
	}
	t.divide(now)
	if !l.bound.inForce {
		return nil
	}
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

// Limited reports whether an upstream has a limit, because it named one or because it is cold.
func (t *Table) Limited(u upstreams.Entry, now time.Time) bool { return t.inForce(u, now) != nil }

// NamesLimit reports whether an upstream has named a limit that is in force.
func (t *Table) NamesLimit(u upstreams.Entry) bool {
	l, ok := t.limits[u.Incarnation()]
	return ok && l.perSecond > 0
}

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

// Len returns the number of upstreams that may have a limit.
func (t *Table) Len() int {
	n := 0
	for _, l := range t.limits {
		if l.mayApply() {
			n++
		}
	}
	return n
}
