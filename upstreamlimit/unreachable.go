package upstreamlimit

import (
	"time"

	"github.com/radishshelf/radishshelf/upstreams"
)

// An upstream that cannot be reached may have ended. If it starts again under its former ID, it is cold, and requests reach
// it before its new entry says so. Therefore it counts as cold until it responds and for its cold time after that. The hosts
// tell each other, because one that sent nothing meanwhile does not know; one that got a response since then knows better.

// contact is what this host and the others know of the connections to an upstream.
type contact struct {
	// respondedAt is when the upstream last responded to this host.
	respondedAt time.Time
	// failedAt is when this host could last not reach the upstream, and backAt when it responded after that; zero until then.
	failedAt, backAt time.Time
}

// ObserveUnreachable records that no connection to an upstream could be opened.
func (t *Table) ObserveUnreachable(u upstreams.Entry, now time.Time) (Change, bool) {
	if t.view.ColdBound(u.Service).PerSecond <= 0 {
		return Change{}, false
	}
	c := t.contactOf(u.Incarnation())
	c.failedAt, c.backAt = now, time.Time{}
	return t.presumeCold(u.Incarnation(), u.Service, "", now)
}

// ObserveResponse records that an upstream responded.
func (t *Table) ObserveResponse(u upstreams.Entry, now time.Time) {
	cold := t.view.ColdBound(u.Service)
	if cold.PerSecond <= 0 {
		return
	}
	i := u.Incarnation()
	c := t.contactOf(i)
	c.respondedAt = now
	if !c.failedAt.IsZero() && c.backAt.IsZero() {
		c.backAt = now
	}
	if l, ok := t.limits[i]; ok && l.unreachable {
		l.endPresumption(now.Add(cold.Lasts))
	}
}

// hearContactFromPeer takes over what another host says of its connections to an upstream.
func (t *Table) hearContactFromPeer(h Heartbeat, c Claim, storeClock time.Duration, now time.Time) (Change, bool) {
	i := upstreams.Incarnation{ID: c.Upstream, Born: c.Born}
	at := func(ms int64) time.Time { return now.Add(time.Duration(ms)*time.Millisecond - storeClock) }
	failedAt := at(c.FailedAt)
	known, ok := t.contacts[i]
	switch {
	case c.FailedAt <= 0 || now.Sub(failedAt) > presumedCold || !t.view.IsRegistered(i):
		return Change{}, false
	case ok && known.respondedAt.After(failedAt):
		return Change{}, false
	case c.BackAt <= 0:
		return t.presumeCold(i, c.Service, h.Host, now)
	}
	until := at(c.BackAt).Add(t.view.ColdBound(c.Service).Lasts)
	if l, ok := t.limits[i]; ok && l.unreachable {
		l.endPresumption(until)
		return Change{}, false
	}
	return t.setCold(i, c.Service, h.Host, until, now)
}

// presumeCold makes an upstream count as cold until it responds.
func (t *Table) presumeCold(i upstreams.Incarnation, service, peer string, now time.Time) (Change, bool) {
	change, changed := t.setCold(i, service, peer, now.Add(presumedCold), now)
	if l, ok := t.limits[i]; ok {
		l.unreachable = true
	}
	return change, changed
}

// endPresumption sets until when an upstream is cold that responds again.
func (l *limit) endPresumption(until time.Time) {
	l.unreachable = false
	if until.Before(l.coldUntil) {
		l.coldUntil = latest(until, l.toldUntil)
	}
}

func (t *Table) contactOf(i upstreams.Incarnation) *contact {
	c, ok := t.contacts[i]
	if !ok {
		c = &contact{}
		t.contacts[i] = c
	}
	return c
}

// pruneContacts forgets upstreams without an entry.
func (t *Table) pruneContacts(now time.Time) {
	for i, c := range t.contacts {
		if now.Sub(latest(c.respondedAt, c.failedAt)) > retention && !t.view.IsRegistered(i) {
			delete(t.contacts, i)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
