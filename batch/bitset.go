package batch

import "math/bits"

// Bitset is a set of small non-negative integers, one bit each.
type Bitset []byte

// Has reports whether n is in the set.
func (b Bitset) Has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// With returns a copy of the set that also holds n.
func (b Bitset) With(n ...int) Bitset {
	size := len(b)
	for _, i := range n {
		size = max(size, i/8+1)
	}
	set := make(Bitset, size)
	copy(set, b)
	for _, i := range n {
		set[i/8] |= 1 << (i % 8)
	}
	return set
}

// Below returns a copy of the set with the numbers below n.
func (b Bitset) Below(n int) Bitset {
	set := make(Bitset, min(len(b), (n+7)/8))
	copy(set, b)
	if last := n / 8; last < len(set) {
		set[last] &= 1<<(n%8) - 1
	}
	return set
}

// Count returns how many numbers the set holds.
func (b Bitset) Count() int {
	n := 0
	for _, octet := range b {
		n += bits.OnesCount8(octet)
	}
	return n
}
