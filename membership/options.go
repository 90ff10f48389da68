package membership

import "time"

// Options configures a Membership. Zero or negative values are replaced by defaults.
type Options struct {
	// HeartbeatInterval is the interval at which processes send heartbeats.
	HeartbeatInterval time.Duration
	// MissedHeartbeats is the number of heartbeat intervals without a report after which a process is dead.
	MissedHeartbeats int
	// DeadRetention is the time without a report after which a process that is not in the host list is removed.
	DeadRetention time.Duration
	// RelayRate is the number of upstream reports that arrive from peers per second. The timeouts of an upstream that is
	// known only through peers grow with upstreams/RelayRate.
	RelayRate float64
}

// Defaults of Options.
const (
	defaultHeartbeatInterval = time.Second
	defaultMissedHeartbeats  = 3
	// defaultDeadRetention keeps the newest incarnation until no delayed report of an older incarnation can still arrive.
	defaultDeadRetention = 10 * time.Minute
	// defaultRelayRate is lower than the rate that the byte limits of entry/peer allow in the largest fleet that the
	// system is designed for, 350 entries and 680 upstreams. The tests of entry/peer measure that rate.
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

// deadAfter returns the time without a direct report after which a process is dead.
func (o Options) deadAfter() time.Duration {
	return time.Duration(o.MissedHeartbeats) * o.HeartbeatInterval
}

// statusAt returns the status at now of a process that last reported at reportedAt. A process becomes suspect only
// after 1.5 heartbeat intervals, because a single late heartbeat is normal jitter.
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
