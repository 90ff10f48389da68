package measure

import (
	"maps"
	"time"

	"github.com/radishshelf/radishshelf/evenload"
)

const (
	// connectionLifetime is how long an idle connection stays open.
	connectionLifetime = 6 * time.Second
	// busyMark is how long a host avoids an upstream that rejected a request.
	busyMark = 200 * time.Millisecond
	// loadSumInterval is the time between two sums of the reports, as in the gateway.
	loadSumInterval = 50 * time.Millisecond
)

// loadHost is a host that chooses upstreams.
type loadHost struct {
	id          int
	weight      float64
	own         map[string]int
	connections map[string]int
	usedAt      map[string]time.Time
	rejectedAt  map[string]time.Time
	reports     []evenload.Report
	times       *evenload.ResponseTimes
	chooser     *evenload.Chooser
	peers       *evenload.PeerLoad
	peersAt     time.Time
	// blind hosts neither send nor receive reports; active ones have begun.
	blind, active bool
}

func newLoadHost(id int, r *loadRun) *loadHost {
	return &loadHost{
		id: id, weight: 1 / float64(1+id%5), own: map[string]int{}, connections: map[string]int{},
		usedAt: map[string]time.Time{}, rejectedAt: map[string]time.Time{}, reports: make([]evenload.Report, r.p.Hosts),
		times: evenload.NewResponseTimes(), chooser: evenload.NewChooser(r.Rand.Float64), active: !r.p.Joins || id%2 == 0,
	}
}

// sees reports whether the host knows a recent report of a peer.
func (h *loadHost) sees(peer *loadHost, now time.Time) bool {
	const maxAge = 2500 * time.Millisecond
	report := h.reports[peer.id]
	return report.Requests != nil && now.Sub(report.HeardAt) < maxAge
}

// connected reports whether one more request can reuse a connection.
func (h *loadHost) connected(server string, now time.Time) bool {
	return now.Sub(h.usedAt[server]) < connectionLifetime && h.own[server] < h.connections[server]
}

// sent counts a request and reports whether it needs a new connection.
func (h *loadHost) sent(server string, now time.Time) bool {
	isNew := !h.connected(server, now)
	if now.Sub(h.usedAt[server]) >= connectionLifetime {
		h.connections[server] = h.own[server]
	}
	h.own[server]++
	if isNew {
		h.connections[server]++
	}
	h.usedAt[server] = now
	h.times.Sent(server, now)
	return isNew
}

func (h *loadHost) done(server string, now time.Time) {
	h.own[server]--
	h.usedAt[server] = now
}

// report sends the load of a host to all hosts that see it.
func (r *loadRun) report(h *loadHost) {
	if h.blind || !h.active {
		return
	}
	load := maps.Clone(h.own)
	r.After(reportDelay, func() {
		for _, other := range r.hosts {
			if !other.blind && other != h {
				other.reports[h.id] = evenload.Report{HeardAt: r.Now(), Requests: load}
			}
		}
	})
}

// chooseEvenLoad returns the upstream that package evenload chooses.
func chooseEvenLoad(r *loadRun, h *loadHost, rejectedBy map[string]bool) *loadServer {
	now := r.Now()
	if h.peers == nil || now.Sub(h.peersAt) >= loadSumInterval {
		var reports []evenload.Report
		for _, peer := range r.hosts {
			if peer != h && h.sees(peer, now) {
				reports = append(reports, h.reports[peer.id])
			}
		}
		h.peers, h.peersAt = evenload.NewPeerLoad(reports, r.ids, h.times.Lifetime(), now), now
	}
	options := make([]evenload.Option, 0, len(r.servers))
	for _, s := range r.servers {
		options = append(options, evenload.Option{
			ID: s.id, Slots: float64(r.p.Slots), Own: h.own[s.id], Peers: h.peers.Expected(s.id, now),
			Share: h.times.Recent(s.id, now), Slowness: h.times.Slowness(s.id, now), Connected: h.connected(s.id, now),
			Busy: now.Sub(h.rejectedAt[s.id]) < busyMark, Tried: rejectedBy[s.id],
		})
	}
	best, _ := h.chooser.Choose(evenload.Request{AllowTried: true, Background: r.p.Background}, options, now)
	return r.byID[best.ID]
}
