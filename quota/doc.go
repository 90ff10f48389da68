// Package quota divides the rate limit of a workspace between entries.
//
// Invariant: the rates of all entries add up to at most the limit. A static part of the limit (a quarter by default) is
// divided evenly by the configured maximum number of entries and needs no coordination. The rest is granted by demand,
// for a limited time, by the holder of the quota role. The package performs no I/O and is not safe for concurrent use.
package quota
