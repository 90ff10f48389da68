package peer

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/rpc"
)

// reportQueue chooses the reports of a message. It is not safe for concurrent use.
type reportQueue struct {
	tracks     map[string]*upstreamTrack
	list       []*upstreamTrack
	observedAt time.Time
}

func newReportQueue() *reportQueue { return &reportQueue{tracks: map[string]*upstreamTrack{}} }

// worthRelaying reports whether an unchanged report is worth passing on.
func worthRelaying(u membership.Upstream, now time.Time) bool {
	return u.HeardDirectly || now.Sub(u.ReportedAt) <= maxRelayAge
}

// observe reads the view, unless it did so a moment ago.
func (q *reportQueue) observe(members Members, now time.Time) {
	if age := now.Sub(q.observedAt); age >= 0 && age < observeInterval {
		return
	}
	q.observedAt = now
	q.list = q.list[:0]
	for _, t := range q.tracks {
		t.seen = false
	}
	for _, u := range members.Upstreams(now) {
		if u.Status != membership.Candidate && u.Status != membership.Dead {
			q.observeOne(u, now)
		}
	}
	for name, t := range q.tracks {
		if !t.seen {
			delete(q.tracks, name)
		}
	}
}

func (q *reportQueue) observeOne(u membership.Upstream, now time.Time) {
	t, known := q.tracks[u.Name]
	if known {
		t.observe(u, now)
	} else {
		t = newUpstreamTrack(u, now)
		q.tracks[u.Name] = t
	}
	q.list = append(q.list, t)
}

// selectRequested returns full reports of the upstreams that the receiver selectRequested for, in at most limit bytes.
func (q *reportQueue) selectRequested(names []string, to string, limit int, now time.Time) *message {
	m := &message{to: to, limit: limit, now: now}
	for _, name := range names {
		if t, ok := q.tracks[name]; ok {
			m.add(t, t.sentTo(to), true)
		}
	}
	return m
}

// addChanges adds the reports of addChanges that the data centre was sent fewer than sends times.
func (q *reportQueue) addChanges(m *message, sends int) {
	type candidate struct {
		t *upstreamTrack
		s *sendRecord
	}
	var urgent []candidate
	for _, t := range q.list {
		if s := t.sentTo(m.to); t.needsSend(s, sends, m.now) {
			urgent = append(urgent, candidate{t, s})
		}
	}
	slices.SortStableFunc(urgent, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.t.change, b.t.change), cmp.Compare(a.s.sendsSinceChange, b.s.sendsSinceChange),
			b.t.changedAt.Compare(a.t.changedAt))
	})
	for _, c := range urgent {
		if !m.add(c.t, c.s, c.t.change == changedIncarnation) {
			return
		}
	}
}

// addUnchanged adds reports of upstreams that the data centre was not sent for longest: up to a part of the room for
// upstreams of the data centre itself, which its entries use first, the rest for the others.
func (q *reportQueue) addUnchanged(m *message, room int) {
	var local, remote []trackedReport
	for _, t := range q.list {
		r := trackedReport{track: t, sent: t.sentTo(m.to)}
		switch {
		case r.sent.lastSent.Equal(m.now) || !worthRelaying(t.last, m.now): // is in this message, or too old
		case t.last.DataCentre == m.to:
			local = append(local, r)
		default:
			remote = append(remote, r)
		}
	}
	start := m.used
	m.limit = start + room/localShareDivisor
	m.addLeastRecentlySent(local)
	m.limit = start + room
	m.addLeastRecentlySent(remote)
}

// trackedReport is a report and when its data centre was last sent it.
type trackedReport struct {
	track *upstreamTrack
	sent  *sendRecord
}

// message is the reports for a data centre that fit into a number of bytes.
type message struct {
	to      string
	limit   int
	now     time.Time
	reports []*rpc.HeartbeatRequest
	used    int
}

func (m *message) addLeastRecentlySent(list []trackedReport) {
	slices.SortFunc(list, func(a, b trackedReport) int { return a.sent.lastSent.Compare(b.sent.lastSent) })
	for _, r := range list {
		if !m.add(r.track, r.sent, false) {
			return
		}
	}
}

// add appends a report, in full or without what is fixed for an incarnation, and reports whether it fitted.
func (m *message) add(t *upstreamTrack, s *sendRecord, full bool) bool {
	if s.lastSent.Equal(m.now) {
		return true
	}
	report := reportOf(t.last, m.now)
	if !full {
		clearFixedFields(report)
	}
	size := proto.Size(report) + fieldOverhead
	if m.used+size > m.limit {
		return false
	}
	m.used += size
	m.reports = append(m.reports, report)
	s.lastSent = m.now
	s.sendsSinceChange++
	return true
}

// clearFixedFields removes what is fixed for an incarnation.
func clearFixedFields(r *rpc.HeartbeatRequest) {
	r.DataAddress, r.ControlAddress, r.WeightsUrl = "", "", ""
	r.DataCentre, r.Region, r.Kind, r.Policy = "", "", "", ""
}
