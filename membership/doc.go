// Package membership keeps the view of upstreams and entries. It is pure: reports, host lists and the time go in, the
// view comes out.
//
// Invariants:
//   - a report of an older incarnation never replaces one of a newer incarnation that is not dead;
//   - within an incarnation, a report with a sequence number that is not higher is ignored;
//   - the host list adds and removes candidates only: it never makes a process live and never hides one that reports.
package membership
