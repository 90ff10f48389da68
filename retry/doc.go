// Package retry decides whether a failed attempt may be repeated and whether a slow one may be duplicated.
//
// The invariant: a non-idempotent request is repeated only after an outcome of "not run", and no request is repeated
// after a byte of its answer reached the caller. The package is pure and not safe for concurrent use.
package retry
