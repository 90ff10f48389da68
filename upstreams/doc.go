// Package upstreams holds one process's view of the upstreams that are registered in a watched table. It does no I/O
// and reads no clock: changes of the table and the current time go in, the usable upstreams come out.
//
// Invariant: an upstream whose entry was removed is used for at most RemovalGrace after the store came back, and not at
// all if the store was reachable all the time.
package upstreams
