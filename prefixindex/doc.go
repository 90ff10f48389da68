// Package prefixindex tracks which upstreams probably hold which prompt prefixes in their caches.
//
// It is updated by routing decisions and by cache events, which may arrive late and with gaps. The results are hints: a
// wrong one costs a prefill, but never causes a request to be refused. The package does no I/O and is not safe for
// concurrent use.
package prefixindex
