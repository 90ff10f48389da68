// Package idempotency prevents a non-idempotent request from running twice under the same idempotency key.
//
// Invariants:
//   - the claim row is written before the first byte of the request is sent;
//   - a row is removed only by the process that wrote it, and only when the request is known not to have run;
//   - a stored response is returned only for a request with the same content.
//
// Decide makes the decision without I/O; Store applies it to the table.
package idempotency
