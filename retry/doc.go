// Package retry decides whether a failed attempt may be retried and whether a slow one may be hedged.
//
// Invariant: a non-idempotent request is retried only after an outcome of "not run", and no request is retried after a byte
// of its response has been forwarded to the caller. The package performs no I/O and is not safe for concurrent use.
package retry
