package membership

import (
	"maps"
	"slices"
	"time"
)

// Membership is the view of all upstreams and entries. It is not safe for concurrent use.
type Membership struct {
	options   Options
	upstreams map[string]*upstreamState
	entries   map[string]*entryState
	hosts     map[string]Host
}

type upstreamState struct {
	report  Upstream
	lineage lineage
	// refused is set when a connection was refused after the last report.
	refused bool
}

type entryState struct {
	report  Entry
	lineage lineage
	refused bool
}

// New returns an empty view.
func New(options Options) *Membership {
	return &Membership{
		options: options.withDefaults(), upstreams: map[string]*upstreamState{}, entries: map[string]*entryState{},
		hosts: map[string]Host{},
	}
}

// Heartbeat takes a report that came from the agent itself.
func (m *Membership) Heartbeat(h Upstream, now time.Time) {
	h.ReportedAt = now
	m.applyUpstream(h, now, true)
}

// PassedOn takes a report that a peer passed on and that was age old when it arrived.
func (m *Membership) PassedOn(h Upstream, age time.Duration, now time.Time) {
	h.ReportedAt = now.Add(-max(age, 0))
	m.applyUpstream(h, now, false)
}

func (m *Membership) applyUpstream(h Upstream, now time.Time, direct bool) {
	if h.Name == "" {
		return
	}
	old, known := m.upstreams[h.Name]
	if !known {
		m.upstreams[h.Name] = &upstreamState{report: h, lineage: lineage{current: h.Incarnation}}
		return
	}
	if !m.replaces(old, h, now, direct) {
		return
	}
	// A passed-on report that was made before the refused connection does not prove that the agent is back.
	old.refused = old.refused && !direct && h.Incarnation == old.report.Incarnation
	old.lineage.follow(h.Incarnation)
	old.report = h
}

func (m *Membership) replaces(old *upstreamState, h Upstream, now time.Time, direct bool) bool {
	switch {
	case h.Incarnation == old.report.Incarnation:
		return h.ReportSeq > old.report.ReportSeq
	case old.lineage.isSuperseded(h.Incarnation):
		// A report of the older process may have been delayed until after the first one of the newer process. If the
		// two were taken in the wrong order, the one that reports itself while the other is dead is the one that runs.
		return direct && m.options.status(old.report.ReportedAt, now, false, old.refused) == Dead
	default:
		// A peer may pass on an incarnation from before the current one. While the current one reports, only the agent
		// itself can replace it.
		current := m.options.status(old.report.ReportedAt, now, false, old.refused)
		return direct || current != Live && h.ReportedAt.After(old.report.ReportedAt)
	}
}

// Refused records that the agent's address refused a connection; the next report of the agent clears it.
func (m *Membership) Refused(upstream string) {
	if s, ok := m.upstreams[upstream]; ok {
		s.refused = true
	}
}

// Upstreams returns every upstream in name order, with its status at now.
func (m *Membership) Upstreams(now time.Time) []Upstream {
	// Names are sorted instead of the large structs, because each request asks for this list.
	names := slices.Collect(maps.Keys(m.upstreams))
	for _, h := range m.hosts {
		if _, reported := m.upstreams[h.Name]; h.Role == RoleUpstream && !reported {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	list := make([]Upstream, 0, len(names))
	for _, name := range names {
		list = append(list, m.upstream(name, now))
	}
	return list
}

func (m *Membership) upstream(name string, now time.Time) Upstream {
	s, reported := m.upstreams[name]
	if !reported {
		h := m.hosts[name]
		return Upstream{
			Name: h.Name, DataAddress: h.Address, DataCentre: h.DataCentre, Region: h.Region, Status: Candidate,
		}
	}
	u := s.report
	u.Status = m.options.status(u.ReportedAt, now, u.Leaving, s.refused)
	return u
}

// Tick drops processes that have been dead for long and are in no host list.
func (m *Membership) Tick(now time.Time) {
	for name, s := range m.upstreams {
		if m.forgotten(name, s.report.ReportedAt, now) {
			delete(m.upstreams, name)
		}
	}
	for name, s := range m.entries {
		if m.forgotten(name, s.report.ReportedAt, now) {
			delete(m.entries, name)
		}
	}
}

func (m *Membership) forgotten(name string, reportedAt, now time.Time) bool {
	_, listed := m.hosts[name]
	return !listed && now.Sub(reportedAt) > m.options.Forget
}
