package membership

import "time"

// The silence that an entry tolerates of an upstream whose agent reports to other entries only. Peers pass on a report
// of it once per refresh time F on average, where F = upstreams known / Options.RelayRate. A report that arrives at
// random with mean interval F stays away for k*F with probability e^-k.
const (
	// relaySuspectIntervals makes an upstream suspect after 1.5 beats + 6 F; a suspect still takes work.
	relaySuspectIntervals = 6
	// relayDeadIntervals makes it dead after 3 missed beats + 15 F: of 350 entries with 650 such upstreams each, e^-15 leaves
	// less than one wrong verdict at a time.
	relayDeadIntervals = 15
)

// upstreamState is what is known of one upstream.
type upstreamState struct {
	report  Upstream
	history incarnationHistory
	// lastDirectReportAt is when the agent last reported to this entry itself; zero when it never did.
	lastDirectReportAt time.Time
	// lastResponseAt is when the upstream last answered a request of this entry.
	lastResponseAt time.Time
	// refusedAt is when the address last refused a connection; zero when it has been proved alive since.
	refusedAt time.Time
}

// reportsDirectly reports whether the agent itself is the source for this entry. A report of a peer that is later than
// the last direct one by more than the missed beats shows that the agent now reports to others.
func (s *upstreamState) reportsDirectly(deadAfter time.Duration) bool {
	return !s.lastDirectReportAt.IsZero() && s.report.ReportedAt.Sub(s.lastDirectReportAt) <= deadAfter
}

// relayRefreshInterval is the time in which peers pass on one report of each upstream on average.
func (m *Membership) relayRefreshInterval() time.Duration {
	return time.Duration(float64(len(m.upstreams)) / m.options.RelayRate * float64(time.Second))
}

// liveness derives the status of an upstream, except that it ignores what the agent said about leaving.
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

// RecordResponse records that the upstream answered a request of this entry. It counts for an upstream known through peers;
// where the agent reports itself, its heartbeats decide.
func (m *Membership) RecordResponse(upstream string, now time.Time) {
	if s, ok := m.upstreams[upstream]; ok {
		s.lastResponseAt = now
	}
}

// RecordRefused records that the agent's address refused a connection; the next report of the agent clears it, or one passed
// on by a peer that was clearly made later.
func (m *Membership) RecordRefused(upstream string, now time.Time) {
	if s, ok := m.upstreams[upstream]; ok {
		s.refusedAt = now
	}
}
