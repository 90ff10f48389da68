// Package membership maintains this entry's view of all upstreams and entries, computed from their reports, the host
// list and the current time. It does no I/O, reads no clock and starts no goroutines.
//
// Invariants:
//   - a report from an older incarnation never replaces one from a newer incarnation that is not dead;
//   - within an incarnation, a report with a sequence number that is not higher is ignored;
//   - the host list only adds and removes candidates: it never makes a process live and never hides one that reports.
package membership
