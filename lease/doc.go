// Package lease decides who holds a leased role. It is a state machine without clock, goroutines or I/O: ticks and
// table results go in, table operations come out.
//
// Invariants:
//
//   - A holder acts only until ActWindow after it sent its last confirmed renewal, measured on its own clock.
//   - A challenger takes over only after it saw the row unchanged for Duration plus PauseTolerance, measured on its own
//     clock. No two clocks are compared.
//   - A released role is free at once, except for a former holder that another one has followed: it waits until
//     ReturnWait has passed since its own tenure.
//   - The row changes only by a write that names the revision it replaces, so only one of two challengers succeeds.
//
// Therefore at least Duration - ActWindow + PauseTolerance passes between the last check by an old holder and the first
// action of the next one. A holder that is frozen for less than that after a check cannot overlap with its successor.
package lease
