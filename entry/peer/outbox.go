package peer

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/rpc"
)

// outbox chooses the reports of a message. It is not safe for concurrent use.
type outbox struct {
	tracks     map[string]*track
	list       []*track
	observedAt time.Time
}

func newOutbox() *outbox { return &outbox{tracks: map[string]*track{}} }

// fresh reports whether an unchanged report is worth passing on.
func fresh(u membership.Upstream, now time.Time) bool {
	return u.ReportsDirectly || now.Sub(u.ReportedAt) <= maxRelayAge
}

// observe reads the view, unless it did so a moment ago.
func (o *outbox) observe(members Members, now time.Time) {
	if age := now.Sub(o.observedAt); age >= 0 && age < observeEvery {
		return
	}
	o.observedAt = now
	o.list = o.list[:0]
	for _, t := range o.tracks {
		t.seen = false
	}
	for _, u := range members.Upstreams(now) {
		if u.Status != membership.Candidate && u.Status != membership.Dead {
			o.observeOne(u, now)
		}
	}
	for name, t := range o.tracks {
		if !t.seen {
			delete(o.tracks, name)
		}
	}
}

func (o *outbox) observeOne(u membership.Upstream, now time.Time) {
	t, known := o.tracks[u.Name]
	if known {
		t.observe(u, now)
	} else {
		t = newTrack(u, now)
		o.tracks[u.Name] = t
	}
	o.list = append(o.list, t)
}

// asked returns full reports of the upstreams that the receiver asked for, in at most limit bytes.
func (o *outbox) asked(names []string, to string, limit int, now time.Time) *message {
	m := &message{to: to, limit: limit, now: now}
	for _, name := range names {
		if t, ok := o.tracks[name]; ok {
			m.add(t, t.to(to), true)
		}
	}
	return m
}

// changes adds the reports of changes that the data centre was sent fewer than sends times.
func (o *outbox) changes(m *message, sends int) {
	type candidate struct {
		t *track
		s *sent
	}
	var urgent []candidate
	for _, t := range o.list {
		if s := t.to(m.to); t.urgent(s, sends, m.now) {
			urgent = append(urgent, candidate{t, s})
		}
	}
	slices.SortStableFunc(urgent, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.t.change, b.t.change), cmp.Compare(a.s.urgent, b.s.urgent),
			b.t.changedAt.Compare(a.t.changedAt))
	})
	for _, c := range urgent {
		if !m.add(c.t, c.s, c.t.change == changedProcess) {
			return
		}
	}
}

// refresh adds reports of upstreams that the data centre was not sent for longest: up to a part of the room for
// upstreams of the data centre itself, which its entries use first, the rest for the others.
func (o *outbox) refresh(m *message, room int) {
	var near, far []recent
	for _, t := range o.list {
		r := recent{track: t, sent: t.to(m.to)}
		switch {
		case r.sent.at.Equal(m.now) || !fresh(t.last, m.now): // is in this message, or too old
		case t.last.DataCentre == m.to:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	start := m.used
	m.limit = start + room/nearShare
	m.addOldest(near)
	m.limit = start + room
	m.addOldest(far)
}

// recent is a report and when its data centre was last sent it.
type recent struct {
	track *track
	sent  *sent
}

// message is the reports for a data centre that fit into a number of bytes.
type message struct {
	to      string
	limit   int
	now     time.Time
	reports []*rpc.HeartbeatRequest
	used    int
}

func (m *message) addOldest(list []recent) {
	slices.SortFunc(list, func(a, b recent) int { return a.sent.at.Compare(b.sent.at) })
	for _, r := range list {
		if !m.add(r.track, r.sent, false) {
			return
		}
	}
}

// add appends a report, in full or without what is fixed for an incarnation, and reports whether it fitted.
func (m *message) add(t *track, s *sent, full bool) bool {
	if s.at.Equal(m.now) {
		return true
	}
	report := reportOf(t.last, m.now)
	if !full {
		shorten(report)
	}
	size := proto.Size(report) + overhead
	if m.used+size > m.limit {
		return false
	}
	m.used += size
	m.reports = append(m.reports, report)
	s.at = m.now
	s.urgent++
	return true
}

// shorten removes what is fixed for an incarnation.
func shorten(r *rpc.HeartbeatRequest) {
	r.DataAddress, r.ControlAddress, r.WeightsUrl = "", "", ""
	r.DataCentre, r.Region, r.Kind, r.Policy = "", "", "", ""
}
