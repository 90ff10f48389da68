// Package upstreamcall defines calls to upstreams independently of their wire format, and classifies failed calls.
package upstreamcall
