// Package hosting declares the services that the hosting platform offers to radishshelf: a transactional table, an
// object store, orders for upstreams, a sink for usage reports, a lagging host list and a rate-limited weight store.
//
// Implementations return *Error for every failure, so that callers can tell an outage from a refusal and a failure
// known to have had no effect from one whose effect is unknown.
package hosting
