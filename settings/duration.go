package settings

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that JSON represents as a string with a unit, for example "250ms" or "5s".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalJSON implements json.Unmarshaler. Numbers are rejected because they have no unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &Error{
			Kind: KindWrongUnit, Problem: "duration " + string(data) + " has no unit",
			Remedy: `write a string with a unit, for example "5s"`,
		}
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return &Error{
			Kind: KindWrongUnit, Problem: "duration " + string(data) + " is not understood",
			Remedy: `use the units ms, s, m or h, for example "250ms"`,
		}
	}
	*d = Duration(value)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }
