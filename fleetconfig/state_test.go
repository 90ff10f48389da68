package fleetconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a configuration that reverts when pushes, pulls and table reads arrive repeatedly or out of order, and
// against a revision that is reported as complete while an earlier change is missing.
func TestApplyNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		s := NewState()
		highest := make(map[ID]int64)
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			from := rapid.IntRange(0, len(history)-1).Draw(t, "from")
			to := rapid.IntRange(from, len(history)).Draw(t, "to")
			batch := rapid.Permutation(history[from:to]).Draw(t, "batch")
			if rapid.Bool().Draw(t, "pull") && int64(from) <= s.Revision() {
				s.Apply(batch)
				s.Advance(int64(to))
			} else {
				s.ApplyPushed(batch)
			}
			checkState(t, s, history, highest)
		}
	})
}

// drawHistory returns changes of a few objects with the revisions 1 to n; some are deletions.
func drawHistory(t *rapid.T) []Object {
	n := rapid.IntRange(1, 20).Draw(t, "changes")
	history := make([]Object, 0, n)
	for revision := 1; revision <= n; revision++ {
		o := Object{Kind: KindPolicy, Name: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"), Revision: int64(revision)}
		o.Deleted = rapid.Bool().Draw(t, "deleted")
		if !o.Deleted {
			o.Value = json.RawMessage(fmt.Sprintf(`{"max_tokens":%d}`, revision))
		}
		history = append(history, o)
	}
	return history
}

func checkState(t *rapid.T, s *State, history []Object, highest map[ID]int64) {
	v := s.View()
	for id, o := range s.objects {
		if o.Revision < highest[id] {
			t.Fatalf("%v went from revision %d back to %d", id, highest[id], o.Revision)
		}
		highest[id] = o.Revision
		if p, ok := v.Policy(id.Name); ok != !o.Deleted || (ok && p.MaxTokens != o.Revision) {
			t.Fatalf("view shows %+v, %t for %+v", p, ok, o)
		}
	}
	for _, change := range history[:s.Revision()] {
		if s.objects[change.ID()].Revision < change.Revision {
			t.Fatalf("complete through %d, but change %d is missing", s.Revision(), change.Revision)
		}
	}
}

func object(kind Kind, name string, revision int64, value any) Object {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return Object{Kind: kind, Name: name, Revision: revision, Value: data}
}

func exampleView() *View {
	s := NewState()
	s.Apply([]Object{
		object(KindDefaults, DefaultsName, 1, Defaults{TokensPerSecond: 100, MaxTokens: 500}),
		object(KindPolicy, "fares", 2, Policy{}),
		object(KindWorkspace, "dispatch", 3, Workspace{TokensPerSecond: 200}),
		object(KindRoute, "plates", 4, Route{PathPrefix: "/plates", Service: "plates"}),
		object(KindRoute, "plates-old", 5, Route{PathPrefix: "/plates/old/", Service: "plates"}),
		object(KindException, "long-answers", 6, Exception{
			Scope: "workspace/dispatch", Field: "max_tokens", Value: json.RawMessage("900"), Reason: "court documents",
		}),
		object(KindKey, "k1", 7, Key{SecretHash: HashSecret("s"), Workspace: "dispatch", Withdrawn: true}),
		object(KindTrainer, "t", 8, Trainer{Policy: "fares", LotSamples: 8}),
	})
	return s.View()
}

// Guards against invalid objects being accepted, and against errors that lack the field or the remedy.
func TestValidate(t *testing.T) {
	tests := []struct {
		kind        Kind
		name, value string
		field       string // "-" when valid
	}{
		{KindPolicy, "new", `{}`, "-"},
		{KindPolicy, "bad name", `{}`, ""},
		{KindPolicy, "new", `{"trainer":"t"}`, "trainer"},
		{KindPolicy, "fares", `{"trainer":"t","scorer":"plates"}`, "-"},
		{KindPolicy, "new", `{"scorers":"x"}`, "scorers"},
		{KindPolicy, "new", `{"max_tokens":"x"}`, "max_tokens"},
		{KindWorkspace, "w", `{"policies":["fares","nope"]}`, "policies"},
		{KindKey, "k2", `{"secret_hash":"` + HashSecret("s") + `","workspace":"dispatch"}`, "secret_hash"},
		{KindKey, "k2", `{"secret_hash":"` + HashSecret("z") + `","workspace":"dispatch","trainer":"t"}`, "workspace"},
		{KindKey, "k2", `{"secret_hash":"` + HashSecret("z") + `","workspace":"dispatch"}`, "-"},
		{KindRoute, "r", `{"path_prefix":"/v1/chat","service":"s"}`, "path_prefix"},
		{KindRoute, "r", `{"path_prefix":"/plates/","service":"s"}`, "path_prefix"},
		{KindRoute, "r", `{"path_prefix":"/plates2","service":"s"}`, "-"},
		{KindUpstream, "u", `{"agent_address":"127.0.0.1:1","control_address":"localhost:2","data_centre":"d","region":"r","kind":"engine","serves":"fares"}`, "control_address"},
		{KindTrainer, "t2", `{"policy":"fares"}`, "lot_samples"},
		{KindTrainer, "t2", `{"policy":"fares","lot_samples":8,"lot_order":"newest"}`, "lot_order"},
		{KindTrainer, "t2", `{"policy":"fares","lot_samples":8,"lot_order":"freshest"}`, "-"},
		{KindTrainer, "t2", `{"policy":"fares","lot_samples":8,"max_ready_samples":7}`, "max_ready_samples"},
		{KindTrainer, "t2", `{"policy":"fares","lot_samples":8,"max_ready_samples":-1}`, "max_ready_samples"},
		{KindTrainer, "t2", `{"policy":"fares","lot_samples":8,"lot_order":"oldest","max_ready_samples":8}`, "-"},
		{KindRollout, "nope", `{"version":1,"phase":"stage"}`, ""},
		{KindException, "e", `{"scope":"workspace/dispatch","field":"tokens_per_second","value":5,"reason":" "}`, "reason"},
		{KindException, "e", `{"scope":"workspace/nope","field":"tokens_per_second","value":5,"reason":"r"}`, "scope"},
		{KindException, "e", `{"scope":"workspace/dispatch","field":"max_tokens","value":5,"reason":"r"}`, "field"},
		{KindException, "e", `{"scope":"policy/fares","field":"max_tokens","value":-1,"reason":"r"}`, "value"},
		{KindException, "e", `{"scope":"data-centre/wien","field":"max_entries","value":1,"reason":"r"}`, "field"},
		{KindDefaults, "other", `{}`, ""},
	}
	for _, tt := range tests {
		err := Validate(exampleView(), tt.kind, tt.name, json.RawMessage(tt.value))
		var validationErr *ValidationError
		switch {
		case tt.field == "-" && err != nil:
			t.Errorf("%s %s: %v; want valid", tt.kind, tt.value, err)
		case tt.field == "-":
		case !errors.As(err, &validationErr) || validationErr.Field != tt.field || validationErr.Remedy == "":
			t.Errorf("%s %s: %v; want an error for field %q with a remedy", tt.kind, tt.value, err, tt.field)
		}
	}
	if err := ValidateDelete(exampleView(), KindPolicy, "fares"); err == nil {
		t.Error("ValidateDelete accepts a policy that a trainer refers to")
	}
}

// Guards against a wrong route, a wrong precedence of exceptions, and withdrawn keys that are reported as unknown.
func TestView(t *testing.T) {
	v := exampleView()
	for path, want := range map[string]string{
		"/plates": "plates", "/plates/x/y": "plates", "/plates/old": "plates-old", "/plates/old/1": "plates-old", "/plates2": "", "/": "",
	} {
		if got, _, _ := v.RouteFor(path); got != want {
			t.Errorf("RouteFor(%q) = %q; want %q", path, got, want)
		}
	}
	got := v.Effective(Scope{Workspace: "dispatch", Policy: "fares"})
	if got.MaxTokens != 900 || got.TokensPerSecond != 200 || got.RequestTimeoutMs == 0 {
		t.Errorf("Effective = %+v", got)
	}
	if got := v.Effective(Scope{Policy: "fares"}); got.MaxTokens != 500 || got.TokensPerSecond != 100 {
		t.Errorf("Effective without a workspace = %+v", got)
	}
	if id, key, ok := v.KeyByHash(HashSecret("s")); !ok || id != "k1" || !key.Withdrawn {
		t.Errorf("KeyByHash = %q, %+v, %t", id, key, ok)
	}
}
