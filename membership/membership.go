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
	// sortedNameCache holds the sorted names of all upstreams, or nil after the set has changed. Every request lists the
	// upstreams, and sorting took half the time of that.
	sortedNameCache []string
}

type entryState struct {
	report  Entry
	history incarnationHistory
	refused bool
}

// New returns an empty view.
func New(options Options) *Membership {
	return &Membership{
		options: options.withDefaults(), upstreams: map[string]*upstreamState{}, entries: map[string]*entryState{},
		hosts: map[string]Host{},
	}
}

// Upstreams returns all upstreams in name order with their status at now.
func (m *Membership) Upstreams(now time.Time) []Upstream {
	names := m.sortedNames()
	list := make([]Upstream, 0, len(names))
	for _, name := range names {
		list = append(list, m.upstream(name, now))
	}
	return list
}

// Serving returns the upstreams of the given kind that serve the given policy or service, in name order, with their
// status at now.
func (m *Membership) Serving(kind, serves string, now time.Time) []Upstream {
	names := m.sortedNames()
	list := make([]Upstream, 0, len(names))
	for _, name := range names {
		if s, reported := m.upstreams[name]; reported && s.report.Kind == kind && s.report.Serves == serves {
			list = append(list, m.upstream(name, now))
		}
	}
	return list
}

func (m *Membership) sortedNames() []string {
	if m.sortedNameCache != nil {
		return m.sortedNameCache
	}
	m.sortedNameCache = slices.Collect(maps.Keys(m.upstreams))
	for _, h := range m.hosts {
		if _, reported := m.upstreams[h.Name]; h.Role == RoleUpstream && !reported {
			m.sortedNameCache = append(m.sortedNameCache, h.Name)
		}
	}
	slices.Sort(m.sortedNameCache)
	return m.sortedNameCache
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
	u.Status = m.status(s, now)
	u.ReportsDirectly = s.reportsDirectly(m.options.deadAfter())
	return u
}

// Prune removes processes that are not in the host list and have not reported for longer than Options.DeadRetention.
func (m *Membership) Prune(now time.Time) {
	for name, s := range m.upstreams {
		if m.expired(name, s.report.ReportedAt, now) {
			delete(m.upstreams, name)
			m.sortedNameCache = nil
		}
	}
	for name, s := range m.entries {
		if m.expired(name, s.report.ReportedAt, now) {
			delete(m.entries, name)
		}
	}
}

func (m *Membership) expired(name string, reportedAt, now time.Time) bool {
	_, listed := m.hosts[name]
	return !listed && now.Sub(reportedAt) > m.options.DeadRetention
}
