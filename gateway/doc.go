// Package gateway is the entry process on the users' platform: it answers callers, runs batch jobs and holds singleton
// duties. The decisions are in pure packages (batch, versionplan, upstreams, presence, lease, serving); this package does
// their I/O against interfaces, which an adapter implements.
//
// State that must last is in the store: jobs, results, texts in progress, usage counts and the lease. Everything else is
// read again from watched tables after a restart.
package gateway
