// Package upstreamlimit keeps the limits that upstreams name in their responses: how many requests a second an upstream
// takes from all hosts together. It decides what part of each limit this host may use.
//
// The hosts divide a limit by their demand, which they tell each other in their heartbeats together with the limits that
// they have heard. No host asks another one before it sends. Every host counts its own demand as of the heartbeat that has
// come back from the store, so that all hosts divide by nearly the same figures. Views do not change during an outage of
// the store, so the shares stay as they were; a host without sight of the others keeps its last share, or has a small one
// if it has just started.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package upstreamlimit
