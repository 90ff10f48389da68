// Package lease decides who holds a leased role. It is a pure state machine: ticks and table results go in, table
// operations come out; it has no clock, goroutine or I/O of its own.
//
// Invariants:
//
//   - A holder acts only until ActWindow after it sent its last confirmed renewal, measured on its own clock.
//   - A challenger takes over only after it saw the row unchanged for Duration plus PauseTolerance, measured on its own
//     clock. No two clocks are compared.
//   - The row only changes by a write that names the revision it replaces, so of two challengers one wins.
//
// Hence Duration - ActWindow + PauseTolerance passes between the last check of an old holder and the first action of
// the next, and a holder that is frozen for less than that after a check cannot overlap its successor.
package lease
