// Package gateway implements the entry process on the users' platform: it serves callers, runs batch jobs and performs
// the duties that only one process may perform at a time. The decision logic is in packages without I/O (batch,
// versionplan, upstreams, presence, lease, serving); this package does the I/O through interfaces that an adapter
// implements.
//
// Durable state is in the store: jobs, results, partially generated texts, usage counts and the lease. Everything else
// is read again from watched tables after a restart.
package gateway
