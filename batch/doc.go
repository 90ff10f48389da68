// Package batch holds the state of batch jobs: many requests that are handed in at once and run later, in groups, for a
// trainer. It is pure code: events and times go in, decisions come out.
//
// Invariants:
//
//   - An item stands at one position of its job, and a listed result never changes.
//   - A result is succeeded only with a complete text whose versions all fit the job, and with its score where one is
//     asked for.
//   - An item is abandoned only after an answer that it can never be done, after the allowed number of failed runs, after
//     its lifetime, or after the end of its job.
package batch
