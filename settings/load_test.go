package settings

import (
	"errors"
	"testing"
)

type testSettings struct {
	Common
	Interval Duration `json:"interval"`
	Nested   struct {
		Limit Duration `json:"limit"`
	} `json:"nested"`
}

func (s *testSettings) Validate(p *Problems) {
	s.ValidateCommon(p)
	p.Less("interval", s.Interval, "nested.limit", s.Nested.Limit)
}

const validCommonFields = `"name":"a","data_centre":"sudur","region":"sudur","status_address":"127.0.0.1:1",`

// Guards against settings errors that lack the invalid field or the kind.
func TestLoadNamesTheField(t *testing.T) {
	tests := []struct {
		name, in, field string
		kind            ErrorKind
	}{
		{"unknown field", `{"nme":"a"}`, "nme", KindUnknownField},
		{"number without unit", `{"interval":5}`, "interval", KindWrongUnit},
		{"wrong unit in a nested field", `{"nested":{"limit":"5 fortnights"}}`, "nested.limit", KindWrongUnit},
		{"wrong type", `{"name":7}`, "name", KindWrongType},
		{"truncated", `{"name":`, "", KindSyntax},
		{"missing", `{"data_centre":"sudur","region":"sudur","status_address":"127.0.0.1:1","interval":"1s","nested":{"limit":"2s"}}`, "name", KindMissing},
		{"conflict", `{` + validCommonFields + `"interval":"3s","nested":{"limit":"2s"}}`, "interval", KindConflict},
		{"host name", `{"name":"a","data_centre":"d","region":"r","status_address":"localhost:1","interval":"1s","nested":{"limit":"2s"}}`, "status_address", KindInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := Load([]byte(tt.in), &testSettings{})
			var got *Error
			if !errors.As(err, &got) {
				t.Fatalf("Load = %v; want an *Error", err)
			}
			if got.Field != tt.field || got.Kind != tt.kind || got.Remedy == "" {
				t.Errorf("Load = %+v; want field %q, kind %q and a remedy", got, tt.field, tt.kind)
			}
		})
	}
}

// Guards against valid settings being rejected.
func TestLoadAcceptsValidSettings(t *testing.T) {
	in := `{` + validCommonFields + `"interval":"1s","nested":{"limit":"2s"}}`
	if err := Load([]byte(in), &testSettings{}); err != nil {
		t.Fatal(err)
	}
}
