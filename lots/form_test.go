package lots

import (
	"fmt"
	"testing"
)

// Guards against a lot whose row or content the platform refuses, which would stop the trainer for good.
func TestFormStopsAtTheLimits(t *testing.T) {
	many := make([]Ready, MaxGroups+1)
	for i := range many {
		many[i] = Ready{Key: fmt.Sprintf("%06d", i), Samples: 1, Oldest: 1}
	}
	spec := Spec{MaxStaleness: 1, LotSamples: 10 * MaxGroups}
	if f := Form(spec, 1, many); len(f.Take) != MaxGroups {
		t.Errorf("%d groups taken, want %d", len(f.Take), MaxGroups)
	}
	large := []Ready{{Key: "1", Samples: 1, Oldest: 1, Bytes: MaxBytes}, {Key: "2", Samples: 1, Oldest: 1, Bytes: 1}}
	if f := Form(spec, 1, large); len(f.Take) != 1 {
		t.Errorf("%d groups taken, want the one that fills the lot", len(f.Take))
	}
	if f := Form(spec, 1, large[1:]); f.Take != nil {
		t.Errorf("a lot is formed from too few samples: %v", f.Take)
	}
}
