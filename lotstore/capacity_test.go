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

// Guards against generating rollout groups although enough samples are ready, against refusing them after the trainer
// has pulled a lot, and against a store outage that changes the result.
func TestHasCapacityFollowsReadySamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		spec := testSpec
		spec.MaxReadySamples = 8
		s := newTestStoreWithSpec(spec, p.Table, p.Objects, nil)
		ctx := context.Background()
		expect := func(when string, want bool) {
			t.Helper()
			s.HasCapacity(testTrainer) // requests a count
			s.CountReady(ctx)
			if got := s.HasCapacity(testTrainer); got != want {
				t.Fatalf("%s: capacity %v, want %v", when, got, want)
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
		expect("6 of 9 samples in an unacknowledged lot", true)
	})
}

// Guards against a lot in freshest-first order that considers only the first page of the ready groups.
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
		t.Fatalf("oldest version %d, error %v; want a lot of the two groups of version 6", lot.OldestVersion, err)
	}
}

// Guards against table reads for trainers without a limit and for trainers that send no groups to this entry.
func TestReadySamplesCountedOnDemand(t *testing.T) {
	p := memory.New(memory.Options{})
	s := newTestStore(p.Table, p.Objects, nil)
	if !s.HasCapacity(testTrainer) {
		t.Fatal("a trainer without a limit has no capacity")
	}
	if got := s.dueCounts(); len(got) != 0 {
		t.Fatalf("counts due for %v, which have no limit", got)
	}
	spec := testSpec
	spec.MaxReadySamples = 8
	s = newTestStoreWithSpec(spec, p.Table, p.Objects, nil)
	if got := s.dueCounts(); len(got) != 0 {
		t.Fatalf("counts due for %v before any request", got)
	}
	s.HasCapacity(testTrainer)
	if got := s.dueCounts(); len(got) != 1 {
		t.Fatalf("counts due for %v, want one trainer", got)
	}
}
