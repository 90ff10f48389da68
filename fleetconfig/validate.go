package fleetconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
)

// maxValueBytes is the maximum size of one value. It keeps Sync messages with many objects small.
const maxValueBytes = 64 << 10

// validator is implemented by the value types of all kinds.
type validator interface {
	// validate records every error of the value in c.
	validate(c *checker)
}

// newValue returns a zero value of the type of a kind, or nil for an unknown kind.
func newValue(kind Kind) validator {
	switch kind {
	case KindDefaults:
		return &Defaults{}
	case KindException:
		return &Exception{}
	case KindPolicy:
		return &Policy{}
	case KindWorkspace:
		return &Workspace{}
	case KindKey:
		return &Key{}
	case KindRoute:
		return &Route{}
	case KindUpstream:
		return &Upstream{}
	case KindTrainer:
		return &Trainer{}
	case KindRollout:
		return &Rollout{}
	}
	return nil
}

// Validate checks the JSON value of an object against the objects in view. It returns all errors joined; each is a
// *ValidationError.
func Validate(view *View, kind Kind, name string, value json.RawMessage) error {
	c := &checker{kind: kind, name: name, view: view}
	typed := newValue(kind)
	if typed == nil {
		c.add("", "the kind is unknown", "use one of "+kindList())
		return c.err()
	}
	c.requireValidName()
	if len(value) > maxValueBytes {
		c.add("", "the object is larger than 64 KiB", "split the object or remove unneeded content")
		return c.err()
	}
	if c.decode(value, typed) {
		typed.validate(c)
	}
	return c.err()
}

func kindList() string {
	names := make([]string, 0, len(Kinds()))
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

// decode decodes value into target. If that fails, it records an error and returns false.
func (c *checker) decode(value json.RawMessage, target any) bool {
	dec := json.NewDecoder(bytes.NewReader(value))
	dec.DisallowUnknownFields()
	err := dec.Decode(target)
	if err == nil {
		return true
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		c.add(typeErr.Field, "found a JSON "+typeErr.Value, "write a value of type "+typeErr.Type.String())
		return false
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		c.add(strings.Trim(field, `"`), "the field is unknown", "remove it or correct its spelling")
		return false
	}
	c.add("", "the value is not valid JSON: "+err.Error(), "correct the JSON")
	return false
}
