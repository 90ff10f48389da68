package homes

import (
	"encoding/json"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a set that means all regions where it means none, and the reverse.
func TestEmptyAndUnrestrictedSetsDiffer(t *testing.T) {
	none := Only("north").And(Only("south"))
	if !none.Restricted() || none.Allows("north") || none.Allows("") {
		t.Errorf("two sets without a common region allow %v", none.List())
	}
	if all := Only(); all.Restricted() || !all.Allows("north") || all.And(none) != none {
		t.Error("a set without regions must allow all of them")
	}
	for _, want := range []Regions{none, {}, Only("north", "south")} {
		data, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		var got Regions
		if err := json.Unmarshal(data, &got); err != nil || got != want {
			t.Errorf("%s is read as %v, %v", data, got, err)
		}
	}
}

// Guards against an intersection that depends on order or repetition.
func TestAndIsIntersection(t *testing.T) {
	names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", ""}), 0, 6)
	rapid.Check(t, func(t *rapid.T) {
		x, y := names.Draw(t, "x"), names.Draw(t, "y")
		both := Only(x...).And(Only(y...))
		if both != Only(y...).And(Only(x...)) {
			t.Fatal("And is not commutative")
		}
		for _, region := range []string{"a", "b", "c", ""} {
			in := func(list []string) bool { return len(list) == 0 || slices.Contains(list, region) }
			if both.Allows(region) != (in(x) && in(y)) {
				t.Fatalf("region %q: %v and %v", region, x, y)
			}
		}
	})
}
