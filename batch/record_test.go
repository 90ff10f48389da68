package batch

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a new owner that runs an already listed item because the record marks an item that the job does not
// have instead of that one.
func TestRecordWithUnknownItemsIsInconsistent(t *testing.T) {
	for _, c := range []struct {
		done   Bitset
		listed int
		want   bool
	}{
		{Bitset{0b101}, 2, true}, {nil, 0, true}, {Bitset{0b111}, 3, true}, {Bitset{0b101, 0}, 2, true},
		{Bitset{0b1001}, 2, false}, {Bitset{0b1, 0b10}, 2, false}, {Bitset{0b1}, 2, false}, {Bitset{0b11}, 1, false}, {nil, -1, false},
	} {
		r := Record{Total: 3, Listed: c.listed, Done: c.done}
		if got := r.Consistent(3); got != c.want {
			t.Errorf("done %08b, listed %d: consistent %v, want %v", c.done, c.listed, got, c.want)
		}
		if r.Consistent(4) {
			t.Errorf("done %08b, listed %d: consistent with a job of another size", c.done, c.listed)
		}
	}
}

// Guards against counts that include items that a job does not have.
func TestBitsetBelow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := Bitset(rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(rt, "set"))
		n := rapid.IntRange(0, 40).Draw(rt, "n")
		below := set.Below(n)
		for i := range 40 {
			if want := set.Has(i) && i < n; below.Has(i) != want {
				rt.Fatalf("%08b below %d has %d: %v, want %v", set, n, i, below.Has(i), want)
			}
		}
		if fmt.Sprint(set) != fmt.Sprint(Bitset(append([]byte{}, set...))) {
			rt.Fatal("the set was changed")
		}
	})
}
