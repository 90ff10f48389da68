package lots_test

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/lots"
)

// A lot contains the oldest groups within the staleness bound. Groups beyond the bound are discarded with a reason.
func Example() {
	spec := lots.Spec{MaxStaleness: 2, LotSamples: 16}
	ready := []lots.ReadyGroup{
		{Key: "01", Group: "g1", Samples: 8, OldestVersion: 4},
		{Key: "02", Group: "g2", Samples: 8, OldestVersion: 6},
		{Key: "03", Group: "g3", Samples: 8, OldestVersion: 7},
	}
	const step = 7
	selection := lots.SelectGroups(spec, step, ready)
	for _, group := range selection.Discarded {
		fmt.Println("discard", group.Group, group.Reason)
	}
	head, lot := lots.Head{}.NewLot("coach", step, selection.Selected, time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC))
	fmt.Println("lot", lot.Number, "with", lot.Samples, "samples, oldest version", lot.OldestVersion)
	fmt.Println("pull after 0:", head.CheckPull(0))
	fmt.Println("pull after 2:", head.CheckPull(2))
	fmt.Println("void at step 9:", lot.Stale(spec, 9))
	// Output:
	// discard g1 stale
	// lot 1 with 16 samples, oldest version 6
	// pull after 0: <nil>
	// pull after 2: pull after lot 2, but the last lot is 1; pull after 0
	// void at step 9: true
}
