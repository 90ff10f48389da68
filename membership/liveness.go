package membership

import "time"

// Timeouts for an upstream whose agent reports only to other entries, in multiples of the relay refresh interval F.
// Peers relay a report of such an upstream every F on average, where F = known upstreams / Options.RelayRate. If
// reports arrive at random with mean interval F, the probability of no report within k*F is e^-k.
const (
	// relaySuspectIntervals makes an upstream suspect after 1.5 heartbeat intervals + 6 F. A suspect upstream still
	// receives requests.
	relaySuspectIntervals = 6
	// relayDeadIntervals makes an upstream dead after 3 heartbeat intervals + 15 F. With 350 entries that each know 650
	// such upstreams, a probability of e^-15 means less than one live upstream considered dead at any time.
	relayDeadIntervals = 15
)

// upstreamState is the last report of one upstream together with this entry's own observations of it.
type upstreamState struct {
	report  Upstream
	history incarnationHistory
	// lastDirectReportAt is when the agent last sent a report directly to this entry, or zero if it never did.
	lastDirectReportAt time.Time
	// lastResponseAt is when the upstream last responded to a request from this entry.
	lastResponseAt time.Time
	// refusedAt is when the upstream's address last refused a connection, or zero if a later report has shown that the
	// agent is running.
	refusedAt time.Time
}

// reportsDirectly reports whether the agent sends its reports directly to this entry. A relayed report that is later
// than the last direct one by more than deadAfter shows that the agent now reports to other entries.
func (s *upstreamState) reportsDirectly(deadAfter time.Duration) bool {
	return !s.lastDirectReportAt.IsZero() && s.report.ReportedAt.Sub(s.lastDirectReportAt) <= deadAfter
}

// relayRefreshInterval returns the mean interval at which peers relay a report of any given upstream.
func (m *Membership) relayRefreshInterval() time.Duration {
	return time.Duration(float64(len(m.upstreams)) / m.options.RelayRate * float64(time.Second))
}

// liveness returns the status of an upstream without regard to whether its agent reported that it is leaving.
func (m *Membership) liveness(s *upstreamState, now time.Time) Status {
	o := m.options
	if !s.refusedAt.IsZero() {
		return Dead
	}
	if s.reportsDirectly(o.deadAfter()) {
		return o.statusAt(s.report.ReportedAt, now, false, false)
	}
	lastSeenAt := s.report.ReportedAt
	if s.lastResponseAt.After(lastSeenAt) {
		lastSeenAt = s.lastResponseAt
	}
	age, refresh := now.Sub(lastSeenAt), m.relayRefreshInterval()
	switch {
	case age > o.deadAfter()+relayDeadIntervals*refresh:
		return Dead
	case age > o.HeartbeatInterval+o.HeartbeatInterval/2+relaySuspectIntervals*refresh:
		return Suspect
	default:
		return Live
	}
}

func (m *Membership) status(s *upstreamState, now time.Time) Status {
	status := m.liveness(s, now)
	if status != Dead && s.report.Leaving {
		return Leaving
	}
	return status
}

// RecordResponse records that the upstream responded to a request from this entry. A response extends the liveness only
// of upstreams known through peers; for agents that report directly, only heartbeats count.
func (m *Membership) RecordResponse(upstream string, now time.Time) {
	if s, ok := m.upstreams[upstream]; ok {
		s.lastResponseAt = now
	}
}

// RecordRefused records that the agent's address refused a connection, which makes the upstream dead. The mark is
// cleared by the agent's next direct report, by a new incarnation, or by a relayed report that was made later than the
// refusal by more than the dead timeout.
func (m *Membership) RecordRefused(upstream string, now time.Time) {
	if s, ok := m.upstreams[upstream]; ok {
		s.refusedAt = now
	}
}
