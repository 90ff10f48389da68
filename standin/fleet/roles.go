package fleet

import (
	"encoding/json"
	"strings"

	"github.com/radishshelf/radishshelf/lease"
	"github.com/radishshelf/radishshelf/roles"
)

// RoleHolder returns the entry that holds a role according to the lease row in the table, and the fencing term. The entry is
// nil if there is no holder.
func (f *Fleet) RoleHolder(role string) (*Entry, int64) {
	f.t.Helper()
	row, err := f.Platform.Memory.Table.Get(f.t.Context(), roles.RowKey(role))
	if err != nil {
		return nil, 0
	}
	var record lease.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		f.t.Fatalf("decode the lease row of role %s: %v", role, err)
	}
	name, _, _ := strings.Cut(record.Holder, "/")
	for _, e := range f.Entries {
		if e.Name == name {
			return e, record.Term
		}
	}
	return nil, record.Term
}

// OtherEntry returns an entry that is not e.
func (f *Fleet) OtherEntry(e *Entry) *Entry {
	f.t.Helper()
	for _, other := range f.Entries {
		if other != e {
			return other
		}
	}
	f.t.Fatal("the fleet has no other entry")
	return nil
}
