package configstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/httpapi"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// Guards against accepting two concurrent changes of the same revision of one object, and against rejecting a change
// only because another object was changed concurrently.
func TestConcurrentChanges(t *testing.T) {
	mem := memory.New(memory.Options{})
	var accepted, conflicted atomic.Int64
	var wg sync.WaitGroup
	for i := range 8 {
		store := New(mem.Table)
		wg.Go(func() {
			ownName := fmt.Sprintf("own-%d", i)
			if _, err := store.Write(t.Context(), fleetconfig.KindPolicy, ownName, fleetconfig.Policy{}, 0); err != nil {
				t.Errorf("%s: %v", ownName, err)
			}
			_, err := store.Write(t.Context(), fleetconfig.KindPolicy, "shared", fleetconfig.Policy{MaxTokens: int64(i + 1)}, 0)
			var conflict *ConflictError
			switch {
			case err == nil:
				accepted.Add(1)
			case errors.As(err, &conflict) && conflict.Current.Revision > 0 && len(conflict.Current.Value) > 0:
				conflicted.Add(1)
			default:
				t.Errorf("shared: %v; want success or a conflict with the current value", err)
			}
		})
	}
	wg.Wait()
	if accepted.Load() != 1 || conflicted.Load() != 7 {
		t.Errorf("%d accepted and %d in conflict; want 1 and 7", accepted.Load(), conflicted.Load())
	}
	if head, err := New(mem.Table).Head(t.Context()); err != nil || head != 9 {
		t.Errorf("Head = %d, %v; want 9 changes", head, err)
	}
}

// Guards against a change that is applied twice, or lost although success was reported, when replies of commits are
// lost and commits arrive late.
func TestLostReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mem := memory.New(memory.Options{})
		store := New(&faultyTable{Table: mem.Table, t: t})
		accepted := make(map[int64]int64)
		expected := int64(0)
		for i := range int64(rapid.IntRange(1, 6).Draw(t, "changes")) {
			value := fleetconfig.Policy{MaxTokens: i + 1}
			revision, err := store.Write(t.Context(), fleetconfig.KindPolicy, "p", value, expected)
			if err != nil {
				t.Fatalf("change %d: %v", i, err)
			}
			accepted[revision] = value.MaxTokens
			expected = revision
		}
		changes, through, err := New(mem.Table).Since(t.Context(), 0)
		if err != nil || through != int64(len(accepted)) || len(changes) != len(accepted) {
			t.Fatalf("%d changes through %d, %v; want %d", len(changes), through, err, len(accepted))
		}
		for _, o := range changes {
			var p fleetconfig.Policy
			if err := json.Unmarshal(o.Value, &p); err != nil || p.MaxTokens != accepted[o.Revision] {
				t.Fatalf("revision %d holds %+v; want %d", o.Revision, p, accepted[o.Revision])
			}
		}
	})
}

// Guards against reporting that a change had no effect when the table fails after a lost reply, before the outcome can
// be read.
func TestOutageAfterLostReplyIsUncertain(t *testing.T) {
	mem := memory.New(memory.Options{})
	mem.Table.Faults.Set(memory.Faults{LoseReplies: memory.LoseAllReplies})
	store := New(outageAfterCommit{mem.Table})
	_, err := store.Write(t.Context(), fleetconfig.KindPolicy, "p", fleetconfig.Policy{}, 0)
	if !hosting.IsKind(err, hosting.KindUnknown) {
		t.Fatalf("Write = %v; want unknown", err)
	}
	mem.Table.Faults.Set(memory.Faults{Outage: true})
	if _, err := store.Write(t.Context(), fleetconfig.KindPolicy, "p", fleetconfig.Policy{}, 0); !hosting.IsKind(err, hosting.KindUnavailable) {
		t.Fatalf("Write during an outage = %v; want unavailable", err)
	}
}

// Guards against a commit that is applied twice or reported as failed when its HTTP reply is lost.
func TestLostReplyOverHTTP(t *testing.T) {
	mem := memory.New(memory.Options{})
	server := httptest.NewServer(httpapi.NewHandler(mem.Services()))
	defer server.Close()
	store := New(httpapi.NewServices(server.Listener.Addr().String(), httpapi.Options{}).Table)
	mem.Table.Faults.Set(memory.Faults{LoseReplies: 1})
	revision, err := store.Write(t.Context(), fleetconfig.KindPolicy, "p", fleetconfig.Policy{}, 0)
	if err != nil || revision != 1 {
		t.Fatalf("Write = %d, %v; want revision 1", revision, err)
	}
	if head, err := store.Head(t.Context()); err != nil || head != 1 {
		t.Errorf("Head = %d, %v; want 1", head, err)
	}
}

// Guards against deletions that Load or Since leaves out, and against deleting an object that is still referenced.
func TestDeleteLoadSince(t *testing.T) {
	ctx := t.Context()
	mem := memory.New(memory.Options{})
	store := New(mem.Table)
	for _, name := range []string{"a", "b"} {
		if _, err := store.Write(ctx, fleetconfig.KindPolicy, name, fleetconfig.Policy{}, 0); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := store.Write(ctx, fleetconfig.KindWorkspace, "w", fleetconfig.Workspace{Policies: []string{"b"}}, 0); err != nil {
		t.Fatal(err)
	}
	var invalid *fleetconfig.ValidationError
	if _, err := store.Delete(ctx, fleetconfig.KindPolicy, "b", 2); !errors.As(err, &invalid) {
		t.Errorf("Delete of a policy in use = %v", err)
	}
	if revision, err := store.Delete(ctx, fleetconfig.KindPolicy, "a", 1); err != nil || revision != 4 {
		t.Fatalf("Delete = %d, %v", revision, err)
	}
	var conflict *ConflictError
	if _, err := store.Write(ctx, fleetconfig.KindPolicy, "a", fleetconfig.Policy{}, 1); !errors.As(err, &conflict) || !conflict.Current.Deleted {
		t.Errorf("Write over a deletion = %v", err)
	}
	objects, through, err := store.Load(ctx)
	if err != nil || through != 4 || len(objects) != 3 {
		t.Errorf("Load = %v, %d, %v", objects, through, err)
	}
	newer, through, err := store.Since(ctx, 3)
	if err != nil || through != 4 || len(newer) != 1 || !newer[0].Deleted {
		t.Errorf("Since = %v, %d, %v", newer, through, err)
	}
	if _, err := store.Commit(ctx, Change{
		Kind: fleetconfig.KindPolicy, Name: "c", Value: fleetconfig.Policy{},
		Guards: []hosting.Condition{{Key: "lease/rollout", Revision: 5}},
	}); !errors.As(err, new(*GuardError)) {
		t.Errorf("Commit with a failed guard = %v", err)
	}
}
