package ordering

// Signal is the load of one pool at one moment.
type Signal struct {
	Pool Pool
	// Live upstreams, not leaving.
	Live int
	// Busy is the number of requests that run or wait at the pool's upstreams.
	Busy int
	// Slots is the number of requests that the live upstreams run at once.
	Slots int
	// Refused is the number of requests refused for want of capacity since the previous signal.
	Refused int
	// Min and Max bound the count; Max 0 means no bound.
	Min, Max int
}
