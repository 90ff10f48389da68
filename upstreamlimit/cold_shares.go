package upstreamlimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/rendezvous"
	"github.com/radishshelf/radishshelf/upstreams"
)

// serviceDemand measures the demand of this host for a service.
type serviceDemand struct{ callers, background meter }

// WantService counts a request to a service, whether it is sent or not.
func (t *Table) WantService(service string, background bool, now time.Time) {
	if t.view.ColdBound(service).PerSecond <= 0 {
		return
	}
	d, ok := t.services[service]
	if !ok {
		d = &serviceDemand{callers: meter{span: serviceDemandTime}, background: meter{span: serviceDemandTime}}
		t.services[service] = d
	}
	if background {
		d.background.add(1, now)
	} else {
		d.callers.add(1, now)
	}
}

// serviceDemands returns the demand of this host for the services whose cold upstreams have a bound.
func (t *Table) serviceDemands(waiting Waiting, now time.Time) demand {
	var list demand
	for service, d := range t.services {
		sum := Demand{Callers: round(d.callers.perSecond(now)), Background: round(d.background.perSecond(now))}
		if t.Cold(now) > 0 {
			sum.Background = round(sum.Background + waiting(upstreams.Incarnation{}, service)/demandTime.Seconds())
		}
		if sum.total() > 0 && t.view.ColdBound(service).PerSecond > 0 {
			if list == nil {
				list = demand{}
			}
			list[service] = sum
		}
	}
	return list
}

// coldShare returns the share of this host in the bound of a cold upstream. The hosts divide it by their demand for the
// service, which all know before the upstream returns.
//
// A host uses nothing until all that started with it must know it. One that the others may have taken for dead, because no
// heartbeat of its own has come back lately, uses a place apart, which it has if it ranks first among all hosts that it
// knows of; so does everyone in an outage of the store.
func (t *Table) coldShare(i upstreams.Incarnation, l *limit, hosts []string, now time.Time) float64 {
	b := l.bound
	switch {
	case !t.seesHeartbeats || now.Sub(t.firstSeenAt) < settleTime:
		return 0
	case now.Sub(t.seenAt) < seenTime:
		demands := t.serviceDemandsFor(l.service, hosts)
		return shareOf(t.host, b.perSecond, selectByWeight(i, b, demands))
	case t.rank(i) < b.unseen:
		return coldUnseen * b.perSecond / float64(b.unseen)
	}
	return 0
}

// serviceDemandsFor returns the demand of this host and the given other ones for one of the upstreams of a service.
func (t *Table) serviceDemandsFor(service string, others []string) []hostDemand {
	ready := float64(max(t.view.ReadyCount(service), 1))
	of := func(host string, d Demand) hostDemand {
		return hostDemand{host: host, Demand: Demand{Callers: d.Callers / ready, Background: d.Background / ready}}
	}
	list := []hostDemand{of(t.host, t.ownServices[service])}
	for _, host := range others {
		var d Demand
		if p, ok := t.peers[host]; ok {
			d = p.services[service]
		}
		list = append(list, of(host, d))
	}
	return list
}

// selectByWeight returns the hosts that may send to a cold upstream: all, or if there are too many a weighted draw that
// every host makes in the same way and that differs between upstreams. When all upstreams of a service are cold, hosts with
// little demand have places at some of them. The draw changes little when the demand does.
func selectByWeight(i upstreams.Incarnation, b bound, list []hostDemand) []hostDemand {
	if len(list) <= b.places {
		return list
	}
	least := evenFraction * b.perSecond / float64(len(list))
	type drawn struct {
		hostDemand
		at float64
	}
	draws := make([]drawn, 0, len(list))
	for _, d := range list {
		uniform := (float64(rendezvous.Weight(i.ID, d.host)) + 1) / (math.MaxUint64 + 2.0)
		draws = append(draws, drawn{d, -math.Log(uniform) / max(d.total()+least, math.SmallestNonzeroFloat64)})
	}
	slices.SortFunc(draws, func(a, b drawn) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.host, b.host)) })
	chosen := make([]hostDemand, 0, b.places)
	for _, d := range draws[:b.places] {
		chosen = append(chosen, d.hostDemand)
	}
	return chosen
}

// rank returns how many of the hosts that have ever been seen rank before this one for an upstream.
func (t *Table) rank(i upstreams.Incarnation) int {
	own, before := rendezvous.Weight(i.ID, t.host), 0
	for host := range t.peers {
		if host != t.host && rendezvous.Weight(i.ID, host) > own {
			before++
		}
	}
	return before
}
