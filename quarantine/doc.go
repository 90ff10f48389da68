// Package quarantine remembers requests that ran on an upstream when it died, so that a request that crashes engines
// cannot take one engine after another.
//
// The invariant: one death restricts a fingerprint to running alone, two refuse it until its time is over, and a
// fingerprint belongs to one workspace. The package is pure and not safe for concurrent use.
package quarantine
