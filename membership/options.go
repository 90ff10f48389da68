package membership

import "time"

// Options set the times of a Membership.
type Options struct {
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
	// MissedHeartbeats is after how many missed beats a process is dead.
	MissedHeartbeats int
	// DeadRetention is after how long a dead process is dropped from the view.
	DeadRetention time.Duration
	// RelayRate is how many reports of upstreams arrive from peers each second. The silence tolerated of an upstream
	// that is known only through peers is a multiple of upstreams/RelayRate.
	RelayRate float64
}

// Defaults of Options.
const (
	defaultHeartbeatInterval = time.Second
	defaultMissedHeartbeats  = 3
	// defaultDeadRetention keeps the highest incarnation long enough that no delayed report of an older one is still on its
	// way.
	defaultDeadRetention = 10 * time.Minute
	// defaultRelayRate is below the rate that the byte limits of entry/peer allow at the design size; its tests measure
	// the rate.
	defaultRelayRate = 24
)

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = defaultHeartbeatInterval
	}
	if o.MissedHeartbeats <= 0 {
		o.MissedHeartbeats = defaultMissedHeartbeats
	}
	if o.DeadRetention <= 0 {
		o.DeadRetention = defaultDeadRetention
	}
	if o.RelayRate <= 0 {
		o.RelayRate = defaultRelayRate
	}
	return o
}

// deadAfter is the time after the last direct report from which a process is dead.
func (o Options) deadAfter() time.Duration {
	return time.Duration(o.MissedHeartbeats) * o.HeartbeatInterval
}

// statusAt derives the statusAt of a process from the age of its last report. One late beat is ordinary jitter.
func (o Options) statusAt(reportedAt, now time.Time, leaving, refused bool) Status {
	age := now.Sub(reportedAt)
	switch {
	case refused || age > o.deadAfter():
		return Dead
	case leaving:
		return Leaving
	case age > o.HeartbeatInterval+o.HeartbeatInterval/2:
		return Suspect
	default:
		return Live
	}
}
