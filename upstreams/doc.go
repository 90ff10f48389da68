// Package upstreams is one process's view of the upstreams that registered themselves in a watched table. It is pure
// code: changes of the table and the current time go in, the upstreams that may be used come out.
//
// Invariant: an upstream whose entry was removed is used for at most LapseGrace after the store came back, and not at all
// when the store was in reach all the time.
package upstreams
