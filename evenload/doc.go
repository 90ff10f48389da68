// Package evenload chooses the upstream of a request that needs no model, with knowledge of known age.
//
// A host knows its own requests in flight exactly and those of the other hosts as of their last reports. Among hosts that
// all act on the same old reports, the upstream that was idle a report ago is chosen by all of them at once. Therefore a
// report counts in full only as long as the requests in it last: after one mean lifetime of a request a third of what it
// says is left, and the rest is replaced by the mean over the upstreams of the service. For requests shorter than the age
// of the reports, what remains is the host's own load and the response times that it measured itself, which contain the
// load of all hosts.
//
// The package performs no I/O, reads no clock and starts no goroutine. Its types are not safe for concurrent use.
package evenload
