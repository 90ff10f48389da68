// Package quarantine remembers requests that ran on an upstream when it died, so that a request that crashes its upstreams
// cannot take one after another. It is pure, and not safe for concurrent use.
//
// Two types answer the same question for processes that know different things. A List is for processes with agents beside
// the upstreams, which know for certain when one died and what ran there: one death restricts a fingerprint to running
// alone, two refuse it until its time is over. A Ledger is for processes that see answers and a list of upstreams only: it
// waits for evidence that the upstream of a broken run has ended, and tries a request again after pauses that grow.
//
// Both merge what other processes know by the upstreams that died, never by counts: one death seen by two processes is
// one, and two deaths seen by one each are two. A fingerprint belongs to one workspace.
package quarantine
