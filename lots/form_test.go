package lots

import (
	"fmt"
	"testing"
)

// Guards against a lot whose row or content the platform refuses, which would stop the trainer for good.
func TestSelectGroupsEnforcesLotLimits(t *testing.T) {
	many := make([]ReadyGroup, MaxGroups+1)
	for i := range many {
		many[i] = ReadyGroup{Key: fmt.Sprintf("%06d", i), Samples: 1, OldestVersion: 1}
	}
	spec := Spec{MaxStaleness: 1, LotSamples: 10 * MaxGroups}
	if f := SelectGroups(spec, 1, many); len(f.Selected) != MaxGroups {
		t.Errorf("%d groups taken, want %d", len(f.Selected), MaxGroups)
	}
	large := []ReadyGroup{{Key: "1", Samples: 1, OldestVersion: 1, Bytes: MaxBytes}, {Key: "2", Samples: 1, OldestVersion: 1, Bytes: 1}}
	if f := SelectGroups(spec, 1, large); len(f.Selected) != 1 {
		t.Errorf("%d groups taken, want the one that fills the lot", len(f.Selected))
	}
	if f := SelectGroups(spec, 1, large[1:]); f.Selected != nil {
		t.Errorf("a lot is formed from too few samples: %v", f.Selected)
	}
}
