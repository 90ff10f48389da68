// Package hosting declares the services that the hosting platform provides to radishshelf: a transactional table, a
// partitioned row store, an object store, orders for upstreams, a sink for usage reports, a lagging host list and a
// rate-limited weight store.
//
// Implementations return *Error for every failure, so that callers can distinguish an outage from a refusal, and a failure
// without effect from one whose effect is unknown.
package hosting
