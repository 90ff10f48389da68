package lots

import (
	"fmt"
	"testing"
)

// Guards against lots whose row or content exceeds a limit of the platform, which would block the trainer permanently.
func TestSelectGroupsEnforcesLotLimits(t *testing.T) {
	many := make([]ReadyGroup, MaxGroups+1)
	for i := range many {
		many[i] = ReadyGroup{Key: fmt.Sprintf("%06d", i), Samples: 1, OldestVersion: 1}
	}
	spec := Spec{MaxStaleness: 1, LotSamples: 10 * MaxGroups}
	if selection := SelectGroups(spec, 1, many); len(selection.Selected) != MaxGroups {
		t.Errorf("%d groups selected, want %d", len(selection.Selected), MaxGroups)
	}
	large := []ReadyGroup{{Key: "1", Samples: 1, OldestVersion: 1, Bytes: MaxBytes}, {Key: "2", Samples: 1, OldestVersion: 1, Bytes: 1}}
	if selection := SelectGroups(spec, 1, large); len(selection.Selected) != 1 {
		t.Errorf("%d groups selected, want the one that fills the lot", len(selection.Selected))
	}
	if selection := SelectGroups(spec, 1, large[1:]); selection.Selected != nil {
		t.Errorf("lot formed from too few samples: %v", selection.Selected)
	}
}
