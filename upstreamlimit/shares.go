package upstreamlimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/radishshelf/radishshelf/rendezvous"
	"github.com/radishshelf/radishshelf/upstreams"
)

// hostDemand is the demand of a host for one upstream.
type hostDemand struct {
	host string
	Demand
}

// divide computes the shares of this host.
func (t *Table) divide(now time.Time) {
	if !t.dividedAt.IsZero() && now.Sub(t.dividedAt) < divideInterval {
		return
	}
	t.dividedAt = now
	hosts := t.view.Hosts()
	for i, l := range t.limits {
		t.updateBound(l, now)
		switch {
		case !l.bound.inForce:
		case l.bound.cold:
			l.setShare(t.coldShare(i, l, hosts, now), now)
		case !t.seesHeartbeats:
			l.setShare(startFraction*l.perSecond, now)
		default:
			l.setShare(shareOf(t.host, l.perSecond, selectHosts(i, l.perSecond, t.demandsFor(i.ID, hosts))), now)
		}
	}
}

// setShare changes the rate at which the bucket fills. A host that loses its share also loses what it has kept: otherwise
// hosts that have a share in turns could keep one request each.
func (l *limit) setShare(perSecond float64, now time.Time) {
	if perSecond == 0 && l.share > 0 {
		l.bucket.ReserveN(now, max(int(l.bucket.TokensAt(now)), 0))
	}
	l.share = perSecond
	l.bucket.SetLimitAt(now, max(rate.Limit(perSecond), minRate))
	l.bucket.SetBurstAt(now, int(min(max(math.Round(perSecond*l.bound.burst.Seconds()), 1), maxBurst)))
}

// demandsFor returns the demand of this host and the given other ones for an upstream.
func (t *Table) demandsFor(upstream string, others []string) []hostDemand {
	list := []hostDemand{{t.host, t.own[upstream]}}
	for _, host := range others {
		d := hostDemand{host: host}
		if p, ok := t.peers[host]; ok {
			d.Demand = p.demand[upstream]
		}
		list = append(list, d)
	}
	return list
}

// selectHosts returns the hosts that may use a limit: all, or if there are too many the ones with the highest demand and,
// for a quarter of the places, others that every host chooses by the same rank.
func selectHosts(i upstreams.Incarnation, perSecond float64, list []hostDemand) []hostDemand {
	places := int(min(hostsPerRequest*perSecond, maxLimits)) + extraHosts
	if len(list) <= places {
		return list
	}
	byDemand := slices.Clone(list)
	rank := func(a, b hostDemand) int {
		return cmp.Compare(rendezvous.Weight(i.ID, b.host), rendezvous.Weight(i.ID, a.host))
	}
	slices.SortFunc(byDemand, func(a, b hostDemand) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), rank(a, b))
	})
	chosen := places - places/4
	slices.SortFunc(byDemand[chosen:], rank)
	return byDemand[:places]
}

// shareOf returns the share of a host in a limit that the given hosts use. Callers come first: each host gets what its
// callers need, and the rest is divided by the whole demand. The share rises with the host's own demand and falls with that
// of the others.
func shareOf(host string, perSecond float64, list []hostDemand) float64 {
	equal := perSecond / float64(len(list))
	needs, weights := 0.0, 0.0
	own, ownWeight := 0.0, 0.0
	for _, d := range list {
		need := max(callerHeadroom*d.Callers, idleFraction*equal)
		weight := d.total() + evenFraction*equal
		needs += need
		weights += weight
		if d.host == host {
			own, ownWeight = need, weight
		}
	}
	if ownWeight == 0 {
		return 0 // the host is not one of the list
	}
	scale := min(callerFraction*perSecond/needs, 1)
	return scale*own + (perSecond-scale*needs)*ownWeight/weights
}
