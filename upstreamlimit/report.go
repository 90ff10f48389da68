package upstreamlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/upstreams"
)

// Report is what a host tells the others in its heartbeat. It is nil while the host knows no limit.
type Report struct {
	Limits []Claim `json:"limits,omitempty"`
	// Demand is the demand of the host, by upstream with a limit.
	Demand map[string]Demand `json:"demand,omitempty"`
}

// Claim is a limit that a host has heard or has been told.
type Claim struct {
	Upstream string `json:"upstream"`
	Born     int64  `json:"born"`
	Service  string `json:"service"`
	// Limit is in requests a second; 0 after the upstream has ceased to name one.
	Limit float64 `json:"limit"`
	// HeardAt is the time of the statement by the store's clock, in milliseconds.
	HeardAt int64 `json:"heard_at_ms"`
}

// Heartbeat identifies the heartbeat that brought a report.
type Heartbeat struct {
	Host, Incarnation string
	Sequence          int64
}

// Report returns what this host tells the others. waiting returns how many requests of jobs wait for an upstream, where one
// that may go to one of n upstreams counts 1/n; storeClock is the reading of the store's clock at now.
func (t *Table) Report(
	waiting func(i upstreams.Incarnation, service string) float64, storeClock time.Duration, now time.Time,
) *Report {
	t.prune(now)
	if len(t.limits) == 0 {
		return nil
	}
	r := &Report{Demand: demand{}}
	for i, l := range t.limits {
		r.Limits = append(r.Limits, Claim{
			Upstream: i.ID, Born: i.Born, Service: l.service, Limit: l.perSecond,
			HeardAt: (storeClock - now.Sub(l.heardAt)).Milliseconds(),
		})
		if l.perSecond > 0 {
			r.Demand[i.ID] = Demand{
				Callers:    round(l.callers.perSecond(now)),
				Background: round(l.background.perSecond(now) + waiting(i, l.service)/demandTime.Seconds()),
			}
		}
	}
	slices.SortFunc(r.Limits, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Born, b.Born))
	})
	return r
}

// ObserveOwn records the report in a heartbeat of this host that has come back from the store, so that the other hosts have
// most likely got it too; nil if the heartbeat has none.
func (t *Table) ObserveOwn(r *Report) { t.own, t.seesHeartbeats = demandOf(r), true }

// round keeps reports short.
func round(perSecond float64) float64 { return math.Round(perSecond*100) / 100 }

func demandOf(r *Report) demand {
	if r == nil {
		return nil
	}
	maps.DeleteFunc(r.Demand, func(_ string, d Demand) bool { return !d.isValid() })
	return r.Demand
}

// ObservePeer records the report of another host, nil if its heartbeat has none. It returns the limits that changed.
func (t *Table) ObservePeer(h Heartbeat, r *Report, storeClock time.Duration, now time.Time) []Change {
	if !t.addPeerDemand(h, r) || r == nil {
		return nil
	}
	var changes []Change
	for _, c := range r.Limits {
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
	p.demand = demandOf(r)
	return true
}

// ForgetPeer drops the demand of a host that has stopped.
func (t *Table) ForgetPeer(host string) { delete(t.peers, host) }
