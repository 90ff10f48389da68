package membership

import "time"

// ApplyHeartbeat applies a report that the agent sent directly to this entry.
func (m *Membership) ApplyHeartbeat(h Upstream, now time.Time) {
	h.ReportedAt = now
	m.applyUpstream(h, now, true)
}

// ApplyRelayed applies a report that a peer relayed. The age is that of the report on arrival.
func (m *Membership) ApplyRelayed(h Upstream, age time.Duration, now time.Time) {
	h.ReportedAt = now.Add(-max(age, 0))
	m.applyUpstream(h, now, false)
}

// ApplyRelayedPartial applies a relayed report that omits the fields that are fixed for an incarnation: addresses,
// location, kind, policy or service, and weights URL. It returns false without applying the report if the incarnation
// is not the current one.
func (m *Membership) ApplyRelayedPartial(h Upstream, age time.Duration, now time.Time) bool {
	if !m.fillFixedFields(&h) {
		return false
	}
	m.ApplyRelayed(h, age, now)
	return true
}

// fillFixedFields copies the fields that are fixed for an incarnation into a partial report. It returns false if the
// incarnation is not the current one.
func (m *Membership) fillFixedFields(h *Upstream) bool {
	s, known := m.upstreams[h.Name]
	if !known || s.report.Incarnation != h.Incarnation {
		return false
	}
	h.DataAddress, h.ControlAddress = s.report.DataAddress, s.report.ControlAddress
	h.DataCentre, h.Region = s.report.DataCentre, s.report.Region
	h.Kind, h.Serves, h.WeightsURL = s.report.Kind, s.report.Serves, s.report.WeightsURL
	return true
}

func (m *Membership) applyUpstream(h Upstream, now time.Time, direct bool) {
	if h.Name == "" {
		return
	}
	old, known := m.upstreams[h.Name]
	if !known {
		old = &upstreamState{history: incarnationHistory{current: h.Incarnation}}
		m.upstreams[h.Name] = old
		m.sortedNameCache = nil
	} else if !m.shouldReplace(old, h, now, direct) {
		return
	}
	// A relayed report that was made before the connection was refused does not show that the agent is running again.
	if direct || h.Incarnation != old.history.current || h.ReportedAt.Sub(old.refusedAt) > m.options.deadAfter() {
		old.refusedAt = time.Time{}
	}
	if direct {
		old.lastDirectReportAt = now
	}
	old.history.advance(h.Incarnation)
	old.report = h
}

func (m *Membership) shouldReplace(old *upstreamState, h Upstream, now time.Time, direct bool) bool {
	if h.Incarnation == old.report.Incarnation {
		return h.ReportSeq > old.report.ReportSeq
	}
	newerBy := h.ReportedAt.Sub(old.report.ReportedAt)
	relayedOnly := !direct && !old.reportsDirectly(m.options.deadAfter())
	current := m.liveness(old, now)
	switch {
	case old.history.isSuperseded(h.Incarnation):
		// The report may come from the older process and have been delayed, or the two incarnations were first seen in
		// the wrong order. In the second case the running process is the one that still reports directly while the
		// other is dead, or, if both are known through peers only, the one whose report is later by more than any
		// delay.
		return direct && current == Dead || relayedOnly && newerBy > m.options.deadAfter()
	case direct:
		return true
	default:
		// A peer may relay an incarnation older than the current one, so while the current one is live, only a direct
		// report replaces it. An upstream known only through peers stays live for a long time, so there the later
		// report wins.
		return newerBy > 0 && (relayedOnly || current != Live)
	}
}
