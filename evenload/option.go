package evenload

import "github.com/radishshelf/radishshelf/placement"

// Request is what the choice for one send depends on.
type Request struct {
	// AllowTried allows upstreams that were tried already, behind all others.
	AllowTried bool
	// Yields is set for a request that leaves limited upstreams to those that wait for them.
	Yields bool
	// Background requests are those that no caller waits for by itself.
	Background bool
	// Utilization is the mean expected utilization of all options.
	Utilization float64
}

// Option is an upstream to which the request may be sent.
type Option struct {
	ID string
	// Slots is how many requests the upstream may run at the same time. One that comes back after an evacuation may have a
	// part of a slot.
	Slots float64
	// Own is the number of this host's requests in flight there, and Peers the expected number of those of other hosts.
	Own   int
	Peers float64
	// Share is the number of requests that this host sent there recently. Choose turns it into the number for each slot,
	// as a multiple of the mean over all options.
	Share float64
	// Slowness is the response time relative to the other upstreams of the service.
	Slowness float64
	Distance placement.Distance
	// Connected is set if the request can probably reuse a connection.
	Connected bool
	// Suspect upstreams failed their last request, Busy ones refused it, and Isolated ones run a crash suspect.
	Suspect, Busy, Isolated bool
	// Tried is set if the request was sent there already.
	Tried bool
	// Limited upstreams have named a limit, and Full ones have no room by their limit or bound.
	Limited, Full bool
}
