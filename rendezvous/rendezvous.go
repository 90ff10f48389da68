// Package rendezvous implements rendezvous hashing: it ranks candidates for a subject, so that every process computes the same
// order without coordination and the loss of a candidate moves only the subjects assigned to it.
package rendezvous

import "hash/fnv"

// Weight returns the rank of a candidate for a subject; the candidate with the highest weight comes first. Weights are
// uniformly distributed and independent for each subject.
func Weight(subject, candidate string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(subject))
	h.Write([]byte{0})
	h.Write([]byte(candidate))
	x := h.Sum64()
	// FNV mixes the last bytes poorly into the high bits. The finalizer of MurmurHash3 corrects this.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
