package ordering

// Signal is the load of one pool at one point in time.
type Signal struct {
	Pool Pool
	// Live is the number of live upstreams, without those that are leaving.
	Live int
	// Busy is the number of requests that are running or queued at the pool's upstreams.
	Busy int
	// Slots is the number of requests that the live upstreams can run concurrently.
	Slots int
	// Refused is the number of requests refused for lack of capacity since the previous signal.
	Refused int
	// Min and Max limit the count. A Max of 0 means no upper limit.
	Min, Max int
}
