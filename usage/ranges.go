package usage

import (
	"slices"
	"sort"
)

// Range is an inclusive range of sequence numbers.
type Range struct {
	First int64 `json:"first"`
	Last  int64 `json:"last"`
}

// Ranges is a set of sequence numbers, stored as sorted ranges that neither overlap nor adjoin each other.
type Ranges []Range

// Add inserts seq and reports whether it was absent.
func (r *Ranges) Add(seq int64) bool {
	s := *r
	i := sort.Search(len(s), func(i int) bool { return s[i].Last >= seq })
	if i < len(s) && s[i].First <= seq {
		return false
	}
	joinsLeft := i > 0 && s[i-1].Last == seq-1
	joinsRight := i < len(s) && s[i].First == seq+1
	switch {
	case joinsLeft && joinsRight:
		s[i-1].Last = s[i].Last
		s = slices.Delete(s, i, i+1)
	case joinsLeft:
		s[i-1].Last = seq
	case joinsRight:
		s[i].First = seq
	default:
		s = slices.Insert(s, i, Range{First: seq, Last: seq})
	}
	*r = s
	return true
}

// Gaps returns the ranges of absent sequence numbers between 1 and the highest member.
func (r Ranges) Gaps() Ranges {
	var gaps Ranges
	next := int64(1)
	for _, run := range r {
		if run.First > next {
			gaps = append(gaps, Range{First: next, Last: run.First - 1})
		}
		next = run.Last + 1
	}
	return gaps
}
