// Package soak runs real gateway processes on loopback under faults that come in overlapping series, and checks while it
// runs what callers and upstreams see. The stand-ins of the store, the upstreams and the duties are in this process.
//
// A seed decides the faults, their times and targets. Real processes do not repeat to the letter, so that a seed repeats
// the pressure and not the interleaving.
package soak
