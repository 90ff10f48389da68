// Package batch holds the state of batch jobs: sets of requests that a trainer submits at once and that run later, in
// groups. It does no I/O and reads no clock: events and times go in, decisions come out.
//
// Invariants:
//
//   - An item has one position in its job, and a listed result never changes.
//   - A result is succeeded only with a complete text whose weight versions are all allowed, and with its score where
//     one was requested.
//   - An item is abandoned only after a response that it can never be done, after the allowed number of failed runs,
//     after its lifetime, or after the end of its job.
package batch
