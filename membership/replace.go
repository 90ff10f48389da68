package membership

import "time"

// ApplyHeartbeat takes a report that came from the agent itself.
func (m *Membership) ApplyHeartbeat(h Upstream, now time.Time) {
	h.ReportedAt = now
	m.applyUpstream(h, now, true)
}

// ApplyRelayed takes a report that a peer passed on and that was age old when it arrived.
func (m *Membership) ApplyRelayed(h Upstream, age time.Duration, now time.Time) {
	h.ReportedAt = now.Add(-max(age, 0))
	m.applyUpstream(h, now, false)
}

// ApplyRelayedPartial takes a report without what is fixed for an incarnation: addresses, place, kind and policy. It is
// ignored, with the result false, when that incarnation is not the current one.
func (m *Membership) ApplyRelayedPartial(h Upstream, age time.Duration, now time.Time) bool {
	if !m.fillFixedFields(&h) {
		return false
	}
	m.ApplyRelayed(h, age, now)
	return true
}

// fillFixedFields adds to a short report what is fixed for an incarnation.
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
	// A passed-on report that was made before the refused connection does not prove that the agent is back.
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
		// A report of the older process may have been delayed until after the first one of the newer process. If the
		// two were taken in the wrong order, the one that reports itself while the other is dead is the one that runs.
		// Between reports passed on, it is the one that reported later by more than a delay can explain.
		return direct && current == Dead || relayedOnly && newerBy > m.options.deadAfter()
	case direct:
		return true
	default:
		// A peer may pass on an incarnation from before the current one. While the current one reports, only the agent
		// itself can replace it. An upstream known only through peers stays live for long, so the later report counts.
		return newerBy > 0 && (relayedOnly || current != Live)
	}
}
