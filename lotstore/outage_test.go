package lotstore

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// Guards against groups that are acknowledged before they are durable, unbounded memory use, and rollout work that is
// accepted while the buffer has no space for its result.
func TestGroupsCompleteDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		p.Table.Faults.Set(memory.Faults{Outage: true})
		s := newTestStore(p.Table, p.Objects, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		results := make(chan error, 200)
		accepting := 0
		for i := range 200 {
			if s.Accepting() {
				accepting++
			}
			g := testGroup(fmt.Sprintf("g%d", i), "text", 2, 3)
			go func() { results <- s.AddGroup(ctx, g) }()
			synctest.Wait()
		}
		refused := len(results)
		for range refused {
			r, ok := outcome.AsRefusal(<-results)
			if !ok || r.Kind != outcome.KindStoreDown || r.RetryAfter == 0 {
				t.Fatalf("AddGroup during the outage: %v", r)
			}
		}
		if s.pending.size() > 20_000 || refused == 0 || accepting == 0 || accepting >= 200-refused {
			t.Fatalf("%d bytes pending, %d groups refused, new work accepted %d times", s.pending.size(), refused, accepting)
		}
		p.Table.Faults.Set(memory.Faults{})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for range 200 - refused {
			if err := <-results; err != nil {
				t.Fatal(err)
			}
		}
		if !s.Accepting() || s.PendingGroups() != 0 {
			t.Fatal("new work is still refused after the outage")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against losing a group when the entry that completed it during a store outage stops before the outage ends.
func TestPeerPersistsGroupOfStoppedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		p.Objects.Faults.Set(memory.Faults{Outage: true})
		peer := newTestStore(p.Table, p.Objects, nil)
		entry := newTestStore(p.Table, p.Objects, func() (GroupHolder, bool) { return peer, true })
		ctx, kill := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() { result <- entry.AddGroup(ctx, testGroup("g", "text", 4, 3)) }()
		synctest.Wait()
		kill()
		if err := <-result; err == nil {
			t.Fatal("acknowledged before the group was durable")
		}
		p.Objects.Faults.Set(memory.Faults{})
		peer.Retry(t.Context())
		if _, _, err := peer.Pull(t.Context(), testTrainer, 0, 3); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against rows that are never deleted, and against group ids that are forgotten before the retention expires.
func TestCleanAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		s := newTestStore(p.Table, p.Objects, nil)
		add := func(id string, version int64) {
			t.Helper()
			if err := s.AddGroup(t.Context(), testGroup(id, "text", 4, version)); err != nil {
				t.Fatal(err)
			}
		}
		add("stale", 1)
		add("a", 5)
		add("b", 5)
		pull := func(after int64) error {
			_, _, err := s.Pull(t.Context(), testTrainer, after, 5)
			return err
		}
		for after := range int64(2) {
			if err := pull(after); err != nil {
				t.Fatal(err)
			}
		}
		if err := pull(2); !errors.Is(err, lots.ErrNotReady) {
			t.Fatalf("third pull: %v", err)
		}
		time.Sleep(59 * time.Minute)
		s.cleanPulled(t.Context())
		add("a", 5)
		if err := pull(2); !errors.Is(err, lots.ErrNotReady) {
			t.Fatalf("a delivered group is ready again: %v", err)
		}
		time.Sleep(time.Minute)
		s.cleanPulled(t.Context())
		rows, err := p.Table.Scan(t.Context(), trainerPrefix(testTrainer), "", memory.MaxScanRows)
		if err != nil || len(rows) != 1 || rows[0].Key != headKey(testTrainer) {
			t.Fatalf("rows left: %v, %v", rows, err)
		}
		status, err := s.Status(t.Context(), testTrainer)
		if err != nil || status.Delivered != 8 || status.Acknowledged != 2 || status.Discards["stale"] != 4 {
			t.Fatalf("status %+v, %v", status, err)
		}
	})
}

// recoveringPeer is a peer that ends the store outage while it handles HoldGroup.
type recoveringPeer struct {
	GroupHolder
	recover  func()
	released bool
}

func (r *recoveringPeer) HoldGroup(ctx context.Context, req *rpc.HoldGroupRequest) (*rpc.HoldGroupResponse, error) {
	r.recover()
	return r.GroupHolder.HoldGroup(ctx, req)
}

func (r *recoveringPeer) ReleaseGroup(ctx context.Context, req *rpc.ReleaseGroupRequest) (*rpc.ReleaseGroupResponse, error) {
	r.released = true
	return r.GroupHolder.ReleaseGroup(ctx, req)
}

// Guards against a copy that stays on the peer because the group became durable while it was being replicated.
func TestReplicaReleasedAfterLateReplication(t *testing.T) {
	p := memory.New(memory.Options{})
	p.Table.Faults.Set(memory.Faults{Outage: true})
	peer := newTestStore(p.Table, p.Objects, nil)
	holder := &recoveringPeer{GroupHolder: peer}
	s := newTestStore(p.Table, p.Objects, func() (GroupHolder, bool) { return holder, true })
	holder.recover = func() {
		p.Table.Faults.Set(memory.Faults{})
		s.Retry(t.Context())
	}
	if err := s.AddGroup(t.Context(), testGroup("g", "text", 4, 3)); err != nil {
		t.Fatal(err)
	}
	if !holder.released || peer.replicas.count() != 0 {
		t.Fatal("the peer still holds the group")
	}
}

// Guards against a slow cleanup that deletes the row of a group that was added again after a concurrent cleanup had
// finished.
func TestConcurrentCleanupsKeepNewGroup(t *testing.T) {
	p := memory.New(memory.Options{})
	table := &interleavingTable{Table: p.Table}
	now := time.Unix(1000, 0)
	s := newTestStore(table, p.Objects, nil)
	s.opts.Now = func() time.Time { return now }
	group := testGroup("a", "text", 4, 3)
	if err := s.AddGroup(t.Context(), group); err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Pull(t.Context(), testTrainer, 0, 3); err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Pull(t.Context(), testTrainer, 1, 3); !errors.Is(err, lots.ErrNotReady) {
		t.Fatal(err)
	}
	now = now.Add(2 * time.Hour)
	table.beforeCommit = func() {
		if err := errors.Join(s.Clean(t.Context(), testTrainer), s.AddGroup(t.Context(), group)); err != nil {
			t.Error(err)
		}
	}
	_ = s.Clean(t.Context(), testTrainer)
	now = now.Add(time.Second)
	if err := s.AddGroup(t.Context(), group); err != nil {
		t.Fatal(err)
	}
	status, err := s.Status(t.Context(), testTrainer)
	if err != nil || status.ReadyGroups != 1 {
		t.Fatalf("status %+v, %v; want the group ready once", status, err)
	}
}
