package membudget

import (
	"bytes"
	"io"
	"slices"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// Guards against shedding small responses because one upstream sends an endless response at the same time: only the
// endless one may be shed.
func TestLargestReservationIsShed(t *testing.T) {
	var shed atomic.Int64
	b := New(1000, func(int64) { shed.Add(1) })
	var small []*Reservation
	for range 20 {
		r := b.NewReservation(func() { t.Error("a small response was shed") })
		r.Add(20)
		small = append(small, r)
	}
	cancelled := false
	endless := b.NewReservation(func() { cancelled = true })
	for range 100 {
		endless.Add(100)
	}
	if !cancelled || shed.Load() != 1 {
		t.Errorf("endless response cancelled: %v, shed calls: %d, want true and 1", cancelled, shed.Load())
	}
	if got := b.Used(); got != 400 {
		t.Errorf("%d bytes are reserved, want 400", got)
	}
	for _, r := range small {
		r.Release()
		r.Release()
	}
	if got := b.Used(); got != 0 {
		t.Errorf("%d bytes are reserved after all were released", got)
	}
}

// Guards against bytes that are counted twice or never released, in any order of calls.
func TestUsageStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit = 100
		b := New(limit, func(int64) {})
		var open []*Reservation
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 3:
				if len(open) > 0 {
					kept := open[len(open)-1]
					kept.Keep()
					kept.Release() // a kept reservation takes no further bytes
					open = open[:len(open)-1]
				}
			case 0:
				open = append(open, b.NewReservation(func() {}))
			case 1:
				if len(open) > 0 {
					open[rapid.IntRange(0, len(open)-1).Draw(rt, "reservation")].Add(rapid.IntRange(0, 80).Draw(rt, "bytes"))
				}
			default:
				if len(open) > 0 {
					open[len(open)-1].Release()
					open = open[:len(open)-1]
				}
			}
			if used := b.Used(); used < 0 || used > limit {
				rt.Fatalf("%d bytes are reserved, want 0 to %d", used, limit)
			}
		}
		for _, r := range open {
			r.Release()
		}
		if used := b.Used(); used != 0 {
			rt.Fatalf("%d bytes are reserved after all were released", used)
		}
	})
}

// Guards against bytes that a reader does not count, and against reservations that fail without a budget.
func TestReaderCountsBytes(t *testing.T) {
	b := New(100, func(int64) {})
	r := b.NewReservation(func() {})
	if _, err := io.Copy(io.Discard, r.Reader(bytes.NewReader(make([]byte, 60)))); err != nil || b.Used() != 60 {
		t.Errorf("%d bytes counted, want 60; error %v", b.Used(), err)
	}
	var none *Budget
	unlimited := none.NewReservation(func() { t.Error("shed without a limit") })
	unlimited.Add(1 << 40)
	unlimited.Release()
}

// Guards against a complete buffer that is shed, and against one that does not count until it is released.
func TestKeptReservations(t *testing.T) {
	var reported []int64
	b := New(100, func(bytes int64) { reported = append(reported, bytes) })
	kept := b.NewReservation(func() { t.Error("a kept reservation was shed") })
	kept.Add(70)
	first, second := kept.Keep(), kept.Keep()
	if !first || !second || b.Used() != 70 || !b.Admit(30) || b.Admit(31) {
		t.Errorf("70 bytes are kept, %d are used; want room for 30 and not for 31", b.Used())
	}
	shed := false
	next := b.NewReservation(func() { shed = true })
	next.Add(31)
	if !shed || next.Keep() || b.Used() != 70 {
		t.Errorf("31 bytes beside 70 of 100: shed %t, %d used", shed, b.Used())
	}
	kept.Release()
	kept.Release()
	if b.Used() != 0 || !b.Admit(100) || kept.Keep() {
		t.Errorf("%d bytes are used after the release", b.Used())
	}
	if !slices.Equal(reported, []int64{31, 31}) {
		t.Errorf("reported as shed: %v, want 31 bytes not admitted and 31 shed", reported)
	}
}
