// Package quota divides the rate limit of a workspace between entries.
//
// The invariant: the rates of all entries add up to at most the limit. A static part of the limit (a quarter by default)
// is divided evenly by the configured maximum of entries and needs no coordination; the rest is granted by the holder of the quota role
// for a limited time. The package is pure and not safe for concurrent use.
package quota
