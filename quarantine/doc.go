// Package quarantine remembers requests that ran on an upstream when it died, so that a request that crashes its upstreams
// cannot crash one after another. It performs no I/O and is not safe for concurrent use.
//
// Two types decide how a suspect request may run, for processes with different information. A List is for processes with
// agents beside the upstreams, which know for certain when an upstream died and what ran there: after one death a
// fingerprint may only run alone, after two it is refused until its retention ends. A Ledger is for processes that see only
// responses and a list of upstreams: it waits for evidence that the upstream of a broken run has ended, and retries the
// request after increasing delays.
//
// Both merge information from other processes by the upstreams that died, never by adding counts: a death seen by two
// processes counts once, and two deaths seen by one process each count twice. A fingerprint belongs to one workspace.
package quarantine
