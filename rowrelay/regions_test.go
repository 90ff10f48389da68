package rowrelay

import (
	"testing"

	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// Guards against rows that pass through a peer in a region in which they must not be kept.
func TestRelaysOutsideOfTheRegionsSeeNothing(t *testing.T) {
	store := rows.New()
	direct := &unreachableStore{Rows: store, kind: hosting.KindUnavailable}
	north, south := &unreachableStore{Rows: store}, &unreachableStore{Rows: store}
	client := New(direct, func() []Relay {
		return []Relay{{Name: "n", Region: "north", Rows: north}, {Name: "s", Region: "south", Rows: south}}
	})
	ctx := WithRegions(t.Context(), homes.Only("south"))
	for range 20 {
		if _, err := client.Commit(ctx, hosting.RowTxn{}); err != nil {
			t.Fatal(err)
		}
	}
	if north.calls > 0 || south.calls != 20 {
		t.Errorf("%d calls went through the region north, %d through south", north.calls, south.calls)
	}
	if _, err := client.Commit(WithRegions(t.Context(), homes.Only("west")), hosting.RowTxn{}); !hosting.IsKind(err, hosting.KindUnavailable) {
		t.Errorf("without a peer in the region: %v", err)
	}
	for range 40 {
		if _, err := client.Commit(WithRegions(t.Context(), homes.Regions{}), hosting.RowTxn{}); err != nil {
			t.Fatal(err)
		}
	}
	if north.calls+south.calls != 60 {
		t.Errorf("%d calls without regions were relayed", north.calls+south.calls-20)
	}
}
