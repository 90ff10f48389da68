// Package rendezvous ranks candidates for a subject, so that every process computes the same order without agreement and
// the loss of a candidate moves only what it had.
package rendezvous

import "hash/fnv"

// Weight is the rank of a candidate for a subject; the highest comes first. It is even and independent for each subject.
func Weight(subject, candidate string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(subject))
	h.Write([]byte{0})
	h.Write([]byte(candidate))
	x := h.Sum64()
	// FNV mixes the last bytes badly into the high bits; the finalizer of MurmurHash3 spreads them.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
