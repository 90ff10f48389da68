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
	// maxClaims bounds the claims in one report, of some 100 bytes each. Every host receives the reports of all others in
	// each interval of heartbeats, and the store bounds the size of a row.
	maxClaims = 64
	// maxDelay is the time until the next request of a host that has no share.
	maxDelay = time.Second
	// maxColdTime bounds for how long another host may say that an upstream is cold; warming up takes seconds.
	maxColdTime = 10 * time.Minute
	// presumedCold is how long an upstream that could not be reached counts as cold without a response from it. By then its
	// entry is gone or replaced if it has ended: the platform removes entries after three heartbeats of silence.
	presumedCold = 8 * time.Second
	// coldSpan is the span over which the requests to a cold upstream count.
	coldSpan = time.Second
	// coldShares, coldKept and coldUnseen divide what a cold upstream tolerates within coldSpan: what all hosts earn in that
	// time, the requests that they may keep, one each, and those of a host that the others may have taken for dead. The rest
	// is for the burst of a host with much demand, control calls, which do not wait, and hosts whose views differ.
	coldShares = 0.45
	coldKept   = 0.25
	coldUnseen = 0.1
	// coldBurst is the time whose requests a host may send at once to a cold upstream, if that is more than one request. The
	// passes of the scheduler are up to 100 ms apart, so a shorter burst leaves much of a share unused.
	coldBurst = 250 * time.Millisecond
	// seenTime is how long after its last heartbeat that has come back a host relies on being counted by the others. They
	// take it for dead after 2.5 s.
	seenTime = 2 * time.Second
	// settleTime is how long a host that has just started uses no cold upstream after its first heartbeat has come back.
	// Hosts that start together all know each other after two heartbeats.
	settleTime = 1500 * time.Millisecond
	// warmTime is the time after the end of the cold time in which a bound rises to warmFactor times itself, before it is
	// lifted, so that all hosts together do not return at once to an upstream without load.
	warmTime   = time.Second
	warmFactor = 4
	// serviceDemandTime is the time constant of the average demand for a service, by which hosts divide a bound before any
	// host could report demand for the upstream itself. The steps of a trainer come every few seconds.
	serviceDemandTime = 3 * time.Second
	// tokenRounding absorbs the floating-point error of a bucket, in requests.
	tokenRounding = 1e-6
)
