package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// Guards against claim rows that are never deleted, and against the deletion of a claim whose request callers may still
// retry.
func TestSweeperDeletesOnlyOldRows(t *testing.T) {
	p := memory.New(memory.Options{})
	store := NewStore(p.Table, "entry-1", 1e6)
	const claims = 250
	for i := range claims {
		r := Request{Workspace: "verband", Key: fmt.Sprintf("key-%d", i), Content: "c", RequestID: "r"}
		if _, _, err := store.Claim(t.Context(), r); err != nil {
			t.Fatal(err)
		}
	}
	now := time.Now()
	sweeper := NewSweeper(p.Table, func() time.Time { return now })
	sweep := func() (deleted int) {
		for range claims/sweepBatchSize + 2 {
			n, err := sweeper.Step(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			deleted += n
		}
		return deleted
	}
	if n := sweep(); n != 0 {
		t.Fatalf("deleted %d fresh rows", n)
	}
	now = now.Add(Retention + time.Minute)
	if n := sweep(); n != claims {
		t.Fatalf("deleted %d expired rows, want %d", n, claims)
	}
	if _, err := p.Table.Get(t.Context(), RowKey("verband", "key-1")); !hosting.IsKind(err, hosting.KindNotFound) {
		t.Fatalf("an expired row was not deleted: %v", err)
	}
}
