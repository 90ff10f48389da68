package membership

import (
	"slices"
	"strings"
	"time"
)

// Entry is the state of one entry as last reported by itself.
type Entry struct {
	Name        string
	PeerAddress string
	DataCentre  string
	Region      string
	// Incarnation identifies one run of the process.
	Incarnation string
	Leaving     bool
	// AppliedRevision is the configuration revision that the entry has applied.
	AppliedRevision int64
	// ReportedAt is the time at which the report arrived, minus its age if a peer relayed it.
	ReportedAt time.Time
	// Status is computed by Membership; it is ignored in reports.
	Status Status
}

// ApplyEntryReport applies a report that an entry sent about itself (age 0), or one that a peer relayed with its age.
func (m *Membership) ApplyEntryReport(e Entry, age time.Duration, now time.Time) {
	if e.Name == "" {
		return
	}
	e.ReportedAt = now.Add(-max(age, 0))
	old, known := m.entries[e.Name]
	if !known {
		m.entries[e.Name] = &entryState{report: e, history: incarnationHistory{current: e.Incarnation}}
		return
	}
	dead := m.options.statusAt(old.report.ReportedAt, now, false, old.refused) == Dead
	switch {
	case e.Incarnation == old.report.Incarnation:
		// Reports of entries carry no sequence number, so they are ordered by time.
		if !e.ReportedAt.After(old.report.ReportedAt) {
			return
		}
		e.AppliedRevision = max(e.AppliedRevision, old.report.AppliedRevision)
		e.Leaving = e.Leaving || old.report.Leaving
	case old.history.isSuperseded(e.Incarnation) && (age > 0 || !dead):
		return
	case age > 0 && (!dead || !e.ReportedAt.After(old.report.ReportedAt)):
		return
	}
	old.refused = old.refused && age > 0 && e.Incarnation == old.report.Incarnation
	old.history.advance(e.Incarnation)
	old.report = e
}

// RecordEntryRefused records that the entry's peer address refused a connection. The entry is dead until its next
// direct report or the first report of a new incarnation.
func (m *Membership) RecordEntryRefused(name string) {
	if s, ok := m.entries[name]; ok {
		s.refused = true
	}
}

// Entries returns all entries in name order with their status at now.
func (m *Membership) Entries(now time.Time) []Entry {
	list := make([]Entry, 0, len(m.entries))
	for _, s := range m.entries {
		e := s.report
		e.Status = m.options.statusAt(e.ReportedAt, now, e.Leaving, s.refused)
		list = append(list, e)
	}
	for _, h := range m.hosts {
		if _, reported := m.entries[h.Name]; h.Role == RoleEntry && !reported {
			list = append(list, Entry{
				Name: h.Name, PeerAddress: h.Address, DataCentre: h.DataCentre, Region: h.Region, Status: Candidate,
			})
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return list
}
