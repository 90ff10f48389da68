package peer

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/rpc"
)

// reportQueue selects the upstream reports for each message. It is not safe for concurrent use.
type reportQueue struct {
	tracks     map[string]*upstreamTrack
	list       []*upstreamTrack
	observedAt time.Time
}

func newReportQueue() *reportQueue { return &reportQueue{tracks: map[string]*upstreamTrack{}} }

// worthRelaying reports whether an unchanged report should be relayed: it comes directly from the agent or is at most
// maxRelayAge old.
func worthRelaying(u membership.Upstream, now time.Time) bool {
	return u.ReportsDirectly || now.Sub(u.ReportedAt) <= maxRelayAge
}

// observe updates the tracks from the fleet view, at most once per observeInterval.
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

// selectRequested returns full reports of the upstreams that the receiver requested, in at most limit bytes.
func (q *reportQueue) selectRequested(names []string, to string, limit int, now time.Time) *message {
	m := &message{to: to, limit: limit, now: now}
	for _, name := range names {
		if t, ok := q.tracks[name]; ok {
			m.add(t, t.sentTo(to), true)
		}
	}
	return m
}

// addChanges adds the reports of changes that have been sent to the data centre fewer than sends times.
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

// addUnchanged adds the least recently sent reports in at most room bytes. Upstreams in the receiving data centre come
// first, in a limited part of the space, because entries prefer the upstreams of their own data centre.
func (q *reportQueue) addUnchanged(m *message, room int) {
	var local, remote []trackedReport
	for _, t := range q.list {
		r := trackedReport{track: t, sent: t.sentTo(m.to)}
		switch {
		case r.sent.lastSent.Equal(m.now) || !worthRelaying(t.last, m.now): // already in this message or too old
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

// trackedReport is an upstream with its send record for the receiving data centre.
type trackedReport struct {
	track *upstreamTrack
	sent  *sendRecord
}

// message collects reports for a data centre up to a size limit.
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

// add appends a full or partial report and returns false if it does not fit.
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

// clearFixedFields removes the fields that do not change within an incarnation, which makes the report partial.
func clearFixedFields(r *rpc.HeartbeatRequest) {
	r.DataAddress, r.ControlAddress, r.WeightsUrl = "", "", ""
	r.DataCentre, r.Region, r.Kind, r.Policy = "", "", "", ""
}
