package configsync

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/standin/memory"
)

var dataCentres = []string{"sudur", "nordur", "austur"}

// startFleet starts nine entries in three data centres and checks that all are ready after 10 s.
func startFleet(ctx context.Context, t *testing.T, w *network) []*Syncer {
	t.Helper()
	if _, err := w.write(ctx, "first"); err != nil {
		t.Fatal(err)
	}
	var entries []*Syncer
	for n := range 9 {
		entries = append(entries, w.startEntry(ctx, n, 9, dataCentres[n/3]))
	}
	time.Sleep(10 * time.Second)
	for n, s := range entries {
		if err := s.Ready(); err != nil || s.View().Revision() != 1 {
			t.Fatalf("entry %d: %v, revision %d", n, err, s.View().Revision())
		}
	}
	return entries
}

func countServing(entries []*Syncer) (count int) {
	for _, s := range entries {
		if s.MayServeKeyed(time.Now()) {
			count++
		}
	}
	return count
}

func runWithNetwork(t *testing.T, f func(ctx context.Context, t *testing.T, w *network)) {
	t.Helper()
	// The race runtime of Go 1.26 crashes (SIGSEGV in __tsan) if channel timers of one synctest bubble run on several
	// processors in parallel, because they share one race context. GOMAXPROCS 1 avoids the crash and hides no race,
	// since the detector relies on the order of synchronization and not on parallel execution.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx, t, newNetwork())
		cancel()
		time.Sleep(defaultCallTimeout) // a push that is forwarded outlives the call that delivered it
		synctest.Wait()
	})
}

// Guards against changes that propagate slowly, against table reads that grow with the fleet, and against subscribers
// that miss a change.
func TestChangeAppliedEverywhere(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, w *network) {
		entries := startFleet(ctx, t, w)
		var seen []int64
		entries[8].Subscribe(func(changed []fleetconfig.Object) { seen = append(seen, changed[0].Revision) })
		w.headReads.Store(0)
		time.Sleep(10 * time.Second)
		if reads := w.headReads.Load(); reads > 66 { // two readers in each of three data centres, plus one tick at the edge
			t.Errorf("%d reads of the head in 10 s by 9 entries", reads)
		}
		for i, name := range []string{"a", "b", "c"} {
			revision, err := w.write(ctx, name)
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			result := entries[0].AwaitPropagation(ctx, revision)
			if !result.Everywhere || len(result.Isolated) > 0 || time.Since(start) > time.Second {
				t.Errorf("change %d: %+v after %s", i, result, time.Since(start))
			}
		}
		if len(seen) != 3 || seen[2] != 4 {
			t.Errorf("subscriber saw %v; want revisions 2, 3, 4", seen)
		}
		time.Sleep(5 * time.Second)
		if n := countServing(entries); n != 9 {
			t.Errorf("%d of 9 entries serve", n)
		}
	})
}

// Guards against refusing keyed requests at any time during a table outage, and against an entry restarted during the
// outage that becomes ready with an old configuration.
func TestTableOutage(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, w *network) {
		entries := startFleet(ctx, t, w)
		w.mem.Table.Faults.Set(memory.Faults{Outage: true})
		for second := range 600 {
			time.Sleep(time.Second)
			if n := countServing(entries); n != 9 {
				t.Fatalf("second %d: %d of 9 entries serve; %+v", second, n, entries[0].Decision(time.Now()))
			}
		}
		restarted := w.startEntry(ctx, 4, 9, dataCentres[1])
		if restarted.Ready() == nil {
			t.Error("restarted entry is ready before it has received any response")
		}
		time.Sleep(5 * time.Second)
		if err := restarted.Ready(); err != nil || restarted.View().Revision() != 1 {
			t.Errorf("restarted entry: %v, revision %d", err, restarted.View().Revision())
		}
	})
}

// Guards against a withdrawn key that still works in a partitioned region, and against the other side of the partition
// refusing keyed requests.
func TestRegionPartition(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, w *network) {
		entries := startFleet(ctx, t, w)
		w.setSide(1, 6, 7, 8)
		revision, err := w.write(ctx, "after-the-cut")
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		result := entries[0].AwaitPropagation(ctx, revision)
		if !result.Everywhere || len(result.Isolated) != 3 || time.Since(start) > 16*time.Second {
			t.Errorf("%+v after %s; want 3 isolated within 16 s", result, time.Since(start))
		}
		if n := countServing(entries[6:]); n != 0 {
			t.Errorf("%d partitioned entries serve after the change was reported as accepted", n)
		}
		for range 120 {
			time.Sleep(time.Second)
			if n := countServing(entries[:6]); n != 6 {
				t.Fatalf("%d of 6 entries on the side of the table serve", n)
			}
			if n := countServing(entries[6:]); n != 0 {
				t.Fatalf("%d partitioned entries serve", n)
			}
		}
		w.setSide(0, 6, 7, 8)
		time.Sleep(5 * time.Second)
		if n := countServing(entries); n != 9 || entries[8].View().Revision() != revision {
			t.Errorf("after the partition: %d serve, revision %d", n, entries[8].View().Revision())
		}
	})
}

// Guards against reporting a change as applied everywhere while an entry that may still serve has not applied it.
func TestPendingEntryReported(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, w *network) {
		entries := startFleet(ctx, t, w)
		w.setSide(1, 8)
		revision, err := w.write(ctx, "p")
		if err != nil {
			t.Fatal(err)
		}
		short, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		result := entries[0].AwaitPropagation(short, revision)
		if result.Everywhere || len(result.Pending) != 1 || result.Pending[0] != "entry-8" {
			t.Errorf("%+v; want entry-8 pending", result)
		}
	})
}

// Guards against a hanging entry that delays the probes of other entries, which then count as pending although they
// respond.
func TestHangingPeerDoesNotDelayOthers(t *testing.T) {
	for range 20 {
		runWithNetwork(t, func(ctx context.Context, t *testing.T, w *network) {
			entries := startFleet(ctx, t, w)
			w.setSide(1, 8)
			revision, err := w.write(ctx, "p")
			if err != nil {
				t.Fatal(err)
			}
			short, cancel := context.WithTimeout(ctx, 700*time.Millisecond) // below the timeout of a call
			defer cancel()
			result := entries[0].AwaitPropagation(short, revision)
			if len(result.Pending) != 1 || result.Pending[0] != "entry-8" {
				t.Errorf("%+v; want entry-8 pending", result)
			}
		})
	}
}
