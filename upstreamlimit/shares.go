package upstreamlimit

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/radishshelf/radishshelf/rendezvous"
	"github.com/radishshelf/radishshelf/upstreams"
)

// hostDemand is the demand of a host for one upstream, in requests a second.
type hostDemand struct {
	host      string
	perSecond float64
}

// divide computes the shares of this host.
func (t *Table) divide(now time.Time) {
	if !t.dividedAt.IsZero() && now.Sub(t.dividedAt) < divideInterval {
		return
	}
	t.dividedAt = now
	demands := map[string][]hostDemand{}
	for i, l := range t.limits {
		if l.perSecond == 0 {
			continue
		}
		list, ok := demands[l.service]
		if !ok {
			list = t.demandsFor(l.service)
			demands[l.service] = list
		}
		l.setShare(shareOf(t.host, l.perSecond, selectHosts(i, l.perSecond, list)), now)
	}
}

// setShare changes the rate at which the bucket fills.
func (l *limit) setShare(perSecond float64, now time.Time) {
	l.share = perSecond
	l.bucket.SetLimitAt(now, max(rate.Limit(perSecond), minRate))
	l.bucket.SetBurstAt(now, max(int(perSecond*burst.Seconds()), 1))
}

// demandsFor returns the demand of every host for one upstream of a service, ordered by host. The demand for a service
// counts in equal parts for its upstreams.
func (t *Table) demandsFor(service string) []hostDemand {
	upstreamCount := float64(max(t.view.ReadyUpstreams(service), 1))
	list := []hostDemand{{t.host, t.own.lowest(service) / upstreamCount}}
	for _, host := range t.view.Hosts() {
		d := hostDemand{host: host}
		if p, ok := t.peers[host]; ok {
			d.perSecond = max(p.highest(service), 0) / upstreamCount
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b hostDemand) int { return cmp.Compare(a.host, b.host) })
	return list
}

// selectHosts returns the hosts that may use a limit: all, or if there are too many the ones with the highest demand and,
// for half of the places, others that every host chooses by the same rank.
func selectHosts(i upstreams.Incarnation, perSecond float64, list []hostDemand) []hostDemand {
	places := int(min(perSecond, maxLimits)) + extraHosts
	if len(list) <= places {
		return list
	}
	byDemand := slices.Clone(list)
	rank := func(a, b hostDemand) int {
		return cmp.Compare(rendezvous.Weight(i.ID, b.host), rendezvous.Weight(i.ID, a.host))
	}
	slices.SortFunc(byDemand, func(a, b hostDemand) int {
		return cmp.Or(cmp.Compare(b.perSecond, a.perSecond), rank(a, b))
	})
	chosen := places - places/2
	slices.SortFunc(byDemand[chosen:], rank)
	return byDemand[:places]
}

// shareOf returns the share of a host in a limit that the given hosts use: a guaranteed part of the size that it needs,
// and a part of the rest by demand. It rises with the host's own demand and falls with that of the others.
func shareOf(host string, perSecond float64, list []hostDemand) float64 {
	equal := perSecond / float64(len(list))
	rest, weights := perSecond, 0.0
	own, ownWeight := 0.0, 0.0
	for _, d := range list {
		guaranteed := guaranteedFraction * equal
		guaranteed = min(max(demandHeadroom*d.perSecond, idleFraction*guaranteed), guaranteed)
		weight := max(d.perSecond-guaranteed, 0) + evenFraction*equal
		rest -= guaranteed
		weights += weight
		if d.host == host {
			own, ownWeight = guaranteed, weight
		}
	}
	if ownWeight == 0 {
		return 0 // the host is not one of the list
	}
	return own + rest*ownWeight/weights
}
