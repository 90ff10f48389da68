package upstreamlimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/upstreams"
)

// Report is what a host tells the others in its heartbeat. It is nil while the host knows no limit.
type Report struct {
	Limits []Claim `json:"limits,omitempty"`
	// Demand is how many requests a second the host wants to send, by service with a limited upstream.
	Demand map[string]float64 `json:"demand,omitempty"`
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

// Report returns what this host tells the others. waiting returns the requests that wait for a share of a service's
// limits, and storeClock is the reading of the store's clock at now.
func (t *Table) Report(waiting func(service string) int, storeClock time.Duration, now time.Time) *Report {
	t.prune(now)
	if len(t.limits) == 0 {
		return nil
	}
	r := &Report{Demand: map[string]float64{}}
	for i, l := range t.limits {
		r.Limits = append(r.Limits, Claim{
			Upstream: i.ID, Born: i.Born, Service: l.service, Limit: l.perSecond,
			HeardAt: (storeClock - now.Sub(l.heardAt)).Milliseconds(),
		})
		if l.perSecond > 0 {
			demand := t.meterOf(l.service).perSecond(now) + float64(waiting(l.service))/demandTime.Seconds()
			r.Demand[l.service] = math.Round(demand*100) / 100
		}
	}
	slices.SortFunc(r.Limits, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Born, b.Born))
	})
	return r
}

// Reported records that the store has accepted a report of this host; nil if the heartbeat had none.
func (t *Table) Reported(r *Report) { t.own.add(demandOf(r)) }

func demandOf(r *Report) map[string]float64 {
	if r == nil {
		return nil
	}
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
	p.add(demandOf(r))
	return true
}

// ForgetPeer drops the demand of a host that has stopped.
func (t *Table) ForgetPeer(host string) { delete(t.peers, host) }
