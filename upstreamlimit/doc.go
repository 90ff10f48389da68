// Package upstreamlimit keeps what upstreams take from all hosts together, in requests a second: the limits that they name
// in their responses, and the bounds of cold upstreams. The lower one is in force. It decides what part this host may use.
//
// The hosts divide a limit by their demand, which they tell each other in their heartbeats together with the limits that
// they have heard. No host asks another one before it sends. Every host counts its own demand as of the heartbeat that has
// come back from the store, so that all hosts divide by nearly the same figures. Views do not change during an outage of
// the store, so the shares stay as they were; a host without sight of the others keeps its last share, or has a small one
// if it has just started.
//
// The bound of a cold upstream holds for hosts out of touch, too, and within any second, so the hosts divide it more
// strictly: by the demand for the service, which is known before the upstream returns, between few hosts at each upstream;
// a host that the others may not see has no share, or a place that is kept for it.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package upstreamlimit
