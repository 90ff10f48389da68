package fleetconfig

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
)

// Guards against an object that makes a process panic or that lowers a revision, and against invalid objects that
// Validate accepts or rejects without a *ValidationError.
func FuzzObject(f *testing.F) {
	f.Fuzz(func(t *testing.T, kind, name, value string, revision int64, deleted bool) {
		state := NewState()
		state.Apply([]Object{
			{Kind: KindPolicy, Name: "planner", Revision: 1, Value: json.RawMessage(`{}`)},
			{Kind: KindDefaults, Name: DefaultsName, Revision: 2, Value: json.RawMessage(`{"max_tokens":100}`)},
		})
		if err := Validate(state.View(), Kind(kind), name, json.RawMessage(value)); err != nil {
			var validationErr *ValidationError
			if !errors.As(err, &validationErr) {
				t.Errorf("Validate = %v; want a *ValidationError", err)
			}
		} else if !slices.Contains(Kinds(), Kind(kind)) {
			t.Errorf("the kind %q is valid", kind)
		}
		object := Object{Kind: Kind(kind), Name: name, Revision: revision, Value: json.RawMessage(value), Deleted: deleted}
		state.Apply([]Object{object})
		view := state.View()
		for _, known := range []Object{{Kind: KindPolicy, Name: "planner", Revision: 1}, {Kind: KindDefaults, Name: DefaultsName, Revision: 2}} {
			same := Kind(kind) == known.Kind && name == known.Name
			found, ok := view.Object(known.Kind, known.Name)
			if ok && found.Revision < known.Revision || !ok && !(same && deleted) {
				t.Errorf("%s %q is at %+v, found %t after %+v", known.Kind, known.Name, found, ok, object)
			}
		}
		view.Effective(Scope{Workspace: name, Policy: name, DataCentre: name})
		view.RouteFor("/" + name)
		view.Since(0)
		_ = ValidateDelete(view, Kind(kind), name)
	})
}
