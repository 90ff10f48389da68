// Package soak runs real gateway processes on loopback, injects overlapping faults and checks continuously what callers and
// upstreams observe. The stand-ins for the store, the upstreams and the duties run in this process.
//
// A seed determines the faults, their times and their targets. The scheduling of real processes is not deterministic, so a
// seed reproduces the load and the faults, but not the exact interleaving.
package soak
