package upstreamlimit

import "time"

const (
	// guaranteedFraction is the part of a limit that is guaranteed in equal parts to all hosts that need it; the rest
	// follows their demand.
	guaranteedFraction = 0.5
	// idleFraction is the part of its guarantee that a host keeps without demand, for its next request.
	idleFraction = 0.25
	// demandHeadroom lets a host with little demand send somewhat more than its average.
	demandHeadroom = 1.5
	// evenFraction is the part of an equal share that each host counts in addition to its demand, so that a small change
	// of the demand of an otherwise idle fleet moves little.
	evenFraction = 0.1
	// extraHosts is how many hosts may use a limit beyond one for each request a second. A host can keep one request
	// unused, and all kept requests may be sent at the same moment.
	extraHosts = 3
	// burst is the time whose requests a host may send at once if that is more than one request.
	burst = 100 * time.Millisecond
	// divideInterval is how long shares are used before they are computed again.
	divideInterval = 100 * time.Millisecond
	// demandTime is the time constant of the average demand. It is longer than two heartbeats, so that reported demands
	// differ little from one heartbeat to the next.
	demandTime = 2 * time.Second
	// clockError bounds the difference between the estimates that two hosts have of the store's clock.
	clockError = 300 * time.Millisecond
	// retention is how long a limit is remembered after it was lifted or its upstream has gone.
	retention = 30 * time.Second
	// maxLimits bounds the number of limits that are remembered.
	maxLimits = 4096
	// maxDelay is the time until the next request of a host that has no share.
	maxDelay = time.Second
	// tokenRounding absorbs the floating-point error of a bucket, in requests.
	tokenRounding = 1e-6
)
