package upstreamlimit

import (
	"math"
	"time"

	"github.com/radishshelf/radishshelf/upstreams"
)

// ColdBound is what the cold upstreams of a service take.
type ColdBound struct {
	// PerSecond is how many requests a second one cold upstream takes from all hosts together; 0 means no bound.
	PerSecond float64
	// Lasts is how long an upstream is cold after its start.
	Lasts time.Duration
	// Within any second, an upstream tolerates PerSecond times Overrun and Slack requests more; an Overrun below 1 counts
	// as 1.
	Overrun, Slack float64
}

// tolerated returns how many requests may reach an upstream within coldSpan.
func (b ColdBound) tolerated() float64 {
	return b.PerSecond*max(b.Overrun, 1)*coldSpan.Seconds() + max(b.Slack, 0)
}

// bound is what an upstream takes from all hosts together.
type bound struct {
	inForce bool
	// cold is set for the bound of a cold upstream, and perSecond is what all hosts may earn.
	cold      bool
	perSecond float64
	// places and unseen are how many hosts may send to a cold upstream, and how many more that the others may not see.
	places, unseen int
	// burst is the time whose requests a host may send at once.
	burst time.Duration
}

// mayApply reports whether the upstream has named a limit or has been cold lately.
func (l *limit) mayApply() bool { return l.perSecond > 0 || !l.coldUntil.IsZero() }

// updateBound sets the bound of an upstream that is in force.
func (t *Table) updateBound(l *limit, now time.Time) {
	named := bound{inForce: l.perSecond > 0, perSecond: l.perSecond, burst: burst}
	b := boundWhileCold(t.view.ColdBound(l.service), warmth(now.Sub(l.coldUntil)))
	switch {
	case l.coldUntil.IsZero() || !b.inForce || now.Sub(l.coldUntil) > warmTime:
		b = named
	case named.inForce && named.perSecond < b.perSecond:
		b.perSecond = named.perSecond
	}
	if b.cold && !l.bound.cold {
		l.empty(now)
	}
	l.bound = b
}

// warmth returns the multiple of the bound that holds a time after the end of the cold time.
func warmth(sinceCold time.Duration) float64 {
	return 1 + (warmFactor-1)*min(max(sinceCold.Seconds()/warmTime.Seconds(), 0), 1)
}

// boundWhileCold divides factor times what a cold upstream tolerates. Within any coldSpan the hosts send at most what they
// kept and what they earn meanwhile.
func boundWhileCold(c ColdBound, factor float64) bound {
	if c.PerSecond <= 0 {
		return bound{}
	}
	tolerated := factor * c.tolerated()
	b := bound{inForce: true, cold: true, burst: coldBurst, unseen: int(coldUnseen * tolerated)}
	if tolerated < 1 {
		return b // a single request would be too much
	}
	b.places = max(int(coldKept*tolerated), 1)
	b.perSecond = min(factor*c.PerSecond, coldShares*tolerated/coldSpan.Seconds(), (tolerated-1)/coldSpan.Seconds())
	return b
}

// ObserveCold records for how long an upstream is still cold, by its entry or by a response that has just arrived. It is
// never shortened: an entry can be older than the last one.
func (t *Table) ObserveCold(u upstreams.Entry, left time.Duration, now time.Time) (Change, bool) {
	if left <= 0 {
		return Change{}, false
	}
	return t.hearCold(u.Incarnation(), u.Service, "", now.Add(left), now)
}

// hearColdFromPeer records until when an upstream is cold as another host knows it.
func (t *Table) hearColdFromPeer(h Heartbeat, c Claim, storeClock time.Duration, now time.Time) (Change, bool) {
	i := upstreams.Incarnation{ID: c.Upstream, Born: c.Born}
	left := time.Duration(min(max(c.ColdUntil, 0), math.MaxInt64/int64(time.Millisecond)))*time.Millisecond - storeClock
	if c.ColdUntil <= 0 || left <= 0 || left > maxColdTime || !t.view.IsRegistered(i) {
		return Change{}, false
	}
	return t.hearCold(i, c.Service, h.Host, now.Add(left), now)
}

// hearCold records until when an upstream says that it is cold, which this host tells the others.
func (t *Table) hearCold(i upstreams.Incarnation, service, peer string, until, now time.Time) (Change, bool) {
	change, changed := t.setCold(i, service, peer, until, now)
	if l, ok := t.limits[i]; ok {
		l.toldUntil = latest(l.toldUntil, until)
	}
	return change, changed
}

// setCold extends the time in which an upstream is cold. It returns the change if a bound comes into force by it.
func (t *Table) setCold(i upstreams.Incarnation, service, peer string, until, now time.Time) (Change, bool) {
	c := t.view.ColdBound(service)
	if c.PerSecond <= 0 || !until.After(now) {
		return Change{}, false
	}
	l, ok := t.limits[i]
	if !ok {
		if len(t.limits) >= maxLimits {
			return Change{}, false
		}
		l = newLimit(service, now)
		t.limits[i] = l
	}
	wasCold := l.coldUntil.After(now)
	if !until.After(l.coldUntil) {
		return Change{}, false
	}
	l.coldUntil = until
	if wasCold {
		return Change{}, false
	}
	t.dividedAt = time.Time{}
	return Change{Upstream: i, Service: service, From: l.perSecond, To: c.PerSecond, Peer: peer, Cold: until.Sub(now)}, true
}

// Cold returns how many upstreams are cold.
func (t *Table) Cold(now time.Time) int {
	n := 0
	for _, l := range t.limits {
		if l.coldUntil.After(now) {
			n++
		}
	}
	return n
}

// ColdShare returns how many requests a second this host may send to the cold upstreams together, as of its last division.
func (t *Table) ColdShare() float64 {
	sum := 0.0
	for _, l := range t.limits {
		if l.bound.cold && l.mayApply() {
			sum += l.share
		}
	}
	return sum
}
