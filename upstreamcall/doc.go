// Package upstreamcall holds the calls to upstreams as the product sees them, and what is known of a call that failed.
package upstreamcall
