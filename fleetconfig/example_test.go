package fleetconfig_test

import (
	"encoding/json"
	"fmt"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Objects may arrive in any order and from any source; an older revision never replaces a newer one.
func Example() {
	state := fleetconfig.NewState()
	workspace := func(revision int64, value string) fleetconfig.Object {
		return fleetconfig.Object{
			Kind: fleetconfig.KindWorkspace, Name: "north", Revision: revision, Value: json.RawMessage(value),
		}
	}
	fmt.Println(len(state.Apply([]fleetconfig.Object{workspace(7, `{"weight":2}`)})), "changed")
	fmt.Println(len(state.Apply([]fleetconfig.Object{workspace(5, `{"weight":1}`)})), "changed")
	north, ok := state.View().Workspace("north")
	fmt.Println("weight", north.Weight, ok)
	fmt.Println(fleetconfig.Validate(state.View(), fleetconfig.KindWorkspace, "north", json.RawMessage(`{"weight":-1}`)))
	// Output:
	// 1 changed
	// 0 changed
	// weight 2 true
	// workspace "north": field "weight": the value is negative; write 0 or more
}
