package upstreamlimit

import "time"

const (
	// callerFraction is the part of a limit that the requests of callers may take before other demand counts.
	callerFraction = 0.75
	// callerHeadroom is the multiple of its average demand that a host gets for its callers, who do not come evenly.
	callerHeadroom = 2
	// idleFraction is the part of an equal share that a host keeps without demand, for its next request.
	idleFraction = 0.05
	// startFraction is the part of a limit that a host uses from its start until it gets the heartbeats of the others.
	startFraction = 0.05
	// evenFraction is the part of an equal share that each host counts in addition to its demand, so that a small change
	// of the demand of an otherwise idle fleet moves little.
	evenFraction = 0.1
	// hostsPerRequest and extraHosts limit how many hosts may use a limit: extraHosts, and more by the requests a second. A
	// host can keep one request unused, and all kept requests may be sent at the same moment.
	hostsPerRequest = 0.75
	extraHosts      = 3
	// burst is the time whose requests a host may send at once, if that is more than one request. A host that begins a
	// training step has many texts to start and none a little later.
	burst = 700 * time.Millisecond
	// maxBurst bounds the requests of a burst, whatever an upstream names as its limit.
	maxBurst = 1 << 20
	// divideInterval is how long shares are used before they are computed again.
	divideInterval = 100 * time.Millisecond
	// demandTime is the time constant of the average demand. It is shorter than the interval of heartbeats, so that each
	// heartbeat reports the demand since the one before.
	demandTime = 400 * time.Millisecond
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
