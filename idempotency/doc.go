// Package idempotency keeps a request that must not be repeated from running twice under one idempotency key.
//
// Invariants:
//   - the claim row exists before the first byte of the request is sent;
//   - a row is removed only by the process that wrote it, and only when the request is known not to have run;
//   - a stored answer is returned only for a request with the same content.
//
// Decide is the pure core; Store applies it to the table.
package idempotency
