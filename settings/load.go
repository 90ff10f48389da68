package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// embeddedPrefix is what encoding/json puts before the fields of the embedded Common in errors; the file has no such
// prefix.
const embeddedPrefix = "Common."

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Validator is implemented by settings types that check their own values.
type Validator interface {
	// Validate records every error of the settings in p.
	Validate(p *Problems)
}

// LoadFile reads the file at path into target, whose current values are the defaults, and validates it.
// It returns all errors joined; each is an *Error.
func LoadFile(path string, target Validator) error {
	f, err := os.Open(path)
	if err != nil {
		return &Error{Kind: KindUnreadable, Problem: err.Error(), Remedy: "name a readable JSON file"}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return &Error{Kind: KindUnreadable, Problem: err.Error(), Remedy: "name a readable JSON file"}
	}
	if len(data) > maxFileBytes {
		return &Error{
			Kind: KindInvalid, Problem: fmt.Sprintf("the file is larger than %d bytes", maxFileBytes),
			Remedy: "remove unneeded content",
		}
	}
	return Load(data, target)
}

// Load decodes data into target, whose current values are the defaults, and validates it.
// It returns all errors joined; each is an *Error.
func Load(data []byte, target Validator) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return decodeError(data, err)
	}
	if dec.More() {
		return &Error{Kind: KindSyntax, Problem: "data follows the JSON object", Remedy: "keep one object in the file"}
	}
	var p Problems
	target.Validate(&p)
	return p.Err()
}

// decodeError converts an error of encoding/json or of Duration to an *Error with the field.
func decodeError(data []byte, err error) error {
	var settingsErr *Error
	if errors.As(err, &settingsErr) {
		located := *settingsErr
		located.Field = durationField(data, settingsErr)
		return &located
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &Error{
			Kind: KindWrongType, Field: strings.TrimPrefix(typeErr.Field, embeddedPrefix), Problem: "found a JSON " + typeErr.Value,
			Remedy: "write a value of type " + typeErr.Type.String(),
		}
	}
	const unknownPrefix = `json: unknown field `
	if name, ok := strings.CutPrefix(err.Error(), unknownPrefix); ok {
		return &Error{
			Kind: KindUnknownField, Field: strings.Trim(name, `"`), Problem: "the field is unknown",
			Remedy: "remove it or correct its spelling; docs/settings.md lists the fields",
		}
	}
	return &Error{Kind: KindSyntax, Problem: err.Error(), Remedy: "correct the JSON"}
}

// durationField returns the path of the field whose value Duration rejected with e, or "". It searches for the value,
// because a json.Unmarshaler does not know its field.
func durationField(data []byte, e *Error) string {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var tree map[string]json.RawMessage
	if dec.Decode(&tree) != nil {
		return ""
	}
	return findField(tree, "", e.Problem)
}

// findField returns the path of a field below prefix whose raw value problem names, or "".
func findField(tree map[string]json.RawMessage, prefix, problem string) string {
	for name, raw := range tree {
		var child map[string]json.RawMessage
		if json.Unmarshal(raw, &child) == nil && child != nil {
			if found := findField(child, prefix+name+".", problem); found != "" {
				return found
			}
			continue
		}
		if strings.HasPrefix(problem, "duration "+string(raw)+" ") {
			return prefix + name
		}
	}
	return ""
}
