package lotstore

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// Guards against rollout groups that are generated although enough samples wait, against a trainer that gets no more
// groups after it has taken a lot, and against a store outage that changes the answer.
func TestHasCapacityFollowsReadySamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		spec := testSpec
		spec.MaxReadySamples = 8
		s := newTestStoreWithSpec(spec, p.Table, p.Objects, nil)
		ctx := context.Background()
		expect := func(when string, want bool) {
			t.Helper()
			s.HasCapacity(testTrainer) // asks for a count
			s.CountReady(ctx)
			if got := s.HasCapacity(testTrainer); got != want {
				t.Fatalf("%s: room %v, want %v", when, got, want)
			}
		}
		expect("without samples", true)
		for n := range 3 {
			if err := s.AddGroup(ctx, testGroup(fmt.Sprint("g", n), "text", 3, 5)); err != nil {
				t.Fatal(err)
			}
		}
		expect("before the next count", true)
		time.Sleep(readyCountInterval)
		expect("9 samples ready", false)
		if _, _, err := s.Pull(ctx, testTrainer, 0, 5); err != nil {
			t.Fatal(err)
		}
		p.Table.Faults.Set(memory.Faults{Outage: true})
		time.Sleep(readyCountInterval)
		expect("during an outage", false)
		p.Table.Faults.Set(memory.Faults{})
		time.Sleep(readyCountInterval)
		expect("6 of 9 samples in a lot that is not acknowledged", true)
	})
}

// Guards against a lot in the order Freshest that knows only the first page of the ready groups.
func TestFreshestReadsAllPages(t *testing.T) {
	p := memory.New(memory.Options{})
	spec := testSpec
	spec.Order = lots.OrderFreshest
	s := newTestStoreWithSpec(spec, p.Table, p.Objects, nil)
	ctx := context.Background()
	for n := range readyPageSize + 2 {
		version := int64(5)
		if n >= readyPageSize {
			version = 6
		}
		if err := s.AddGroup(ctx, testGroup(fmt.Sprint("g", n), "text", 2, version)); err != nil {
			t.Fatal(err)
		}
	}
	lot, _, err := s.Pull(ctx, testTrainer, 0, 6)
	if err != nil || lot.OldestVersion != 6 {
		t.Fatalf("oldest version %d, error %v; the two groups of version 6 fill the lot", lot.OldestVersion, err)
	}
}

// Guards against reads of the table for trainers without a bound, and for trainers whose groups go to other entries.
func TestReadySamplesCountedOnDemand(t *testing.T) {
	p := memory.New(memory.Options{})
	s := newTestStore(p.Table, p.Objects, nil)
	if !s.HasCapacity(testTrainer) {
		t.Fatal("a trainer without a bound has no room")
	}
	if got := s.dueCounts(); len(got) != 0 {
		t.Fatalf("counts for %v without a bound", got)
	}
	spec := testSpec
	spec.MaxReadySamples = 8
	s = newTestStoreWithSpec(spec, p.Table, p.Objects, nil)
	if got := s.dueCounts(); len(got) != 0 {
		t.Fatalf("counts for %v that nobody asked for", got)
	}
	s.HasCapacity(testTrainer)
	if got := s.dueCounts(); len(got) != 1 {
		t.Fatalf("counts for %v, want one trainer", got)
	}
}
