package upstreamlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/rendezvous"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Report is what a host tells the others in its heartbeat. It is nil while the host knows no limit.
type Report struct {
	Limits []Claim `json:"limits,omitempty"`
	// Demand is the demand of the host, by upstream with a limit.
	Demand map[string]Demand `json:"demand,omitempty"`
	// Services is the demand of the host for each service whose cold upstreams have a bound.
	Services map[string]Demand `json:"services,omitempty"`
}

// Claim is a limit that a host has heard or has been told.
type Claim struct {
	Upstream string `json:"upstream"`
	Born     int64  `json:"born"`
	Service  string `json:"service"`
	// Limit is in requests a second; 0 after the upstream has ceased to name one.
	Limit float64 `json:"limit"`
	// HeardAt is the time of the statement by the store's clock, in milliseconds.
	HeardAt int64 `json:"heard_at_ms,omitempty"`
	// ColdUntil is until when the upstream is cold by the store's clock, in milliseconds; 0 if that is not known.
	ColdUntil int64 `json:"cold_until_ms,omitempty"`
	// FailedAt is when the host could last not reach the upstream, lately, and BackAt when it responded after that.
	FailedAt int64 `json:"failed_at_ms,omitempty"`
	BackAt   int64 `json:"back_at_ms,omitempty"`
}

// Heartbeat identifies the heartbeat that brought a report.
type Heartbeat struct {
	Host, Incarnation string
	Sequence          int64
}

// Waiting returns how many requests of jobs wait for an upstream, where one that may go to one of n upstreams counts 1/n.
// For the empty Incarnation it returns how many wait for the service.
type Waiting func(i upstreams.Incarnation, service string) float64

// Report returns what this host tells the others. storeClock is the reading of the store's clock at now.
func (t *Table) Report(
	waiting Waiting, storeClock time.Duration, now time.Time,
) *Report {
	t.prune(now)
	services := t.serviceDemands(waiting, now)
	if len(t.limits) == 0 && len(services) == 0 {
		return nil
	}
	r := &Report{Demand: demand{}, Services: services}
	for i, l := range t.limits {
		c := Claim{Upstream: i.ID, Born: i.Born, Service: l.service, Limit: l.perSecond}
		if !l.heardAt.IsZero() {
			c.HeardAt = (storeClock - now.Sub(l.heardAt)).Milliseconds()
		}
		if l.toldUntil.After(now) {
			c.ColdUntil = (storeClock + l.toldUntil.Sub(now)).Milliseconds()
		}
		if contact, ok := t.contacts[i]; ok && now.Sub(contact.failedAt) < presumedCold {
			c.FailedAt = max((storeClock - now.Sub(contact.failedAt)).Milliseconds(), 1)
			if !contact.backAt.IsZero() {
				c.BackAt = max((storeClock - now.Sub(contact.backAt)).Milliseconds(), 1)
			}
		}
		if c.tells() {
			r.Limits = append(r.Limits, c)
		}
		if l.perSecond > 0 {
			r.Demand[i.ID] = Demand{
				Callers:    round(l.callers.perSecond(now)),
				Background: round(l.background.perSecond(now) + waiting(i, l.service)/demandTime.Seconds()),
			}
		}
	}
	slices.SortFunc(r.Limits, compareClaims)
	r.Limits = t.nextClaims(r.Limits)
	return r
}

// tells reports whether a claim says anything about its upstream.
func (c Claim) tells() bool {
	return c.Limit > 0 || c.HeardAt != 0 || c.ColdUntil != 0 || c.FailedAt != 0
}

// nextClaims returns at most maxClaims claims, the next ones in each report. Hosts begin at different claims, so that
// together they tell all of them at once.
func (t *Table) nextClaims(claims []Claim) []Claim {
	if len(claims) <= maxClaims {
		return claims
	}
	first := int((rendezvous.Weight("claims", t.host)%uint64(len(claims)) + uint64(t.claimsTold)) % uint64(len(claims)))
	t.claimsTold += maxClaims
	next := append(slices.Clone(claims[first:]), claims[:first]...)[:maxClaims]
	slices.SortFunc(next, compareClaims)
	return next
}

func compareClaims(a, b Claim) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Born, b.Born))
}

// ObserveOwn records the report in a heartbeat of this host that has come back from the store, so that the other hosts have
// most likely got it too; nil if the heartbeat has none. The heartbeat was written at writtenAt.
func (t *Table) ObserveOwn(r *Report, writtenAt, now time.Time) {
	if !t.seesHeartbeats {
		t.seesHeartbeats, t.firstSeenAt = true, now
	}
	t.own, t.ownServices = demandOf(r), servicesOf(r)
	if writtenAt.After(t.seenAt) {
		t.seenAt = writtenAt
	}
}

// round keeps reports short.
func round(perSecond float64) float64 { return math.Round(perSecond*100) / 100 }

func demandOf(r *Report) demand {
	if r == nil {
		return nil
	}
	return valid(r.Demand)
}

func servicesOf(r *Report) demand {
	if r == nil {
		return nil
	}
	return valid(r.Services)
}

func valid(d demand) demand {
	maps.DeleteFunc(d, func(_ string, d Demand) bool { return !d.isValid() })
	return d
}

// ObservePeer records the report of another host, nil if its heartbeat has none. It returns the limits that changed.
func (t *Table) ObservePeer(h Heartbeat, r *Report, storeClock time.Duration, now time.Time) []Change {
	if !t.addPeerDemand(h, r) || r == nil {
		return nil
	}
	var changes []Change
	for _, c := range r.Limits {
		if change, changed := t.hearColdFromPeer(h, c, storeClock, now); changed {
			changes = append(changes, change)
		}
		if change, changed := t.hearContactFromPeer(h, c, storeClock, now); changed {
			changes = append(changes, change)
		}
		if c.HeardAt == 0 && c.Limit == 0 {
			continue // the host knows only that the upstream is cold
		}
		heardAt := now.Add(time.Duration(c.HeardAt)*time.Millisecond - storeClock)
		if heardAt.After(now) {
			heardAt = now
		}
		i := upstreams.Incarnation{ID: c.Upstream, Born: c.Born}
		if now.Sub(heardAt) > retention && !t.view.IsRegistered(i) || !(c.Limit >= 0) || math.IsInf(c.Limit, 0) {
			continue
		}
		s := statement{service: c.Service, perSecond: c.Limit, heardAt: heardAt, peer: h.Host}
		if change, changed := t.hearFromPeer(i, s); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// addPeerDemand records the demand in a report. It returns false for a heartbeat that was seen before.
func (t *Table) addPeerDemand(h Heartbeat, r *Report) bool {
	p, ok := t.peers[h.Host]
	if !ok || p.incarnation != h.Incarnation {
		p = &peerDemand{incarnation: h.Incarnation}
		t.peers[h.Host] = p
	} else if p.sequence >= h.Sequence {
		return false
	}
	p.sequence = h.Sequence
	p.demand, p.services = demandOf(r), servicesOf(r)
	return true
}

// ForgetPeer drops the demand of a host that has stopped.
func (t *Table) ForgetPeer(host string) { delete(t.peers, host) }
