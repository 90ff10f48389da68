// Package prefixindex remembers which upstreams probably hold which prompt prefixes in their caches.
//
// It is fed by routing decisions and by cache events, which arrive late and with gaps. Its answers are hints: a wrong
// one costs a prefill and never refuses a request. The package is pure and not safe for concurrent use.
package prefixindex
