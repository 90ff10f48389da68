package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// valueFlags are the flags that set the value of an object.
type valueFlags struct {
	fields []string
	file   string
	json   string
}

func (v *valueFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringArrayVar(&v.fields, "field", nil, "field=value; a value that is not JSON is taken as a string; may be repeated")
	cmd.Flags().StringVar(&v.file, "file", "", "file with the object as JSON")
	cmd.Flags().StringVar(&v.json, "value", "", "the object as JSON")
	cmd.MarkFlagsMutuallyExclusive("field", "file", "value")
}

// value returns the new value of an object. current is its current value, empty when it does not exist.
func (v *valueFlags) value(current json.RawMessage) (json.RawMessage, error) {
	switch {
	case v.file != "":
		data, err := os.ReadFile(v.file)
		if err != nil {
			return nil, eris.Wrap(err, "--file")
		}
		return checkJSON("--file", data)
	case v.json != "":
		return checkJSON("--value", []byte(v.json))
	default:
		return v.merge(current)
	}
}

func checkJSON(flag string, data []byte) (json.RawMessage, error) {
	if !json.Valid(data) {
		return nil, errors.New(flag + ": the value is not valid JSON; write an object in braces")
	}
	return data, nil
}

func (v *valueFlags) merge(current json.RawMessage) (json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	if len(current) > 0 {
		if err := json.Unmarshal(current, &fields); err != nil {
			return nil, eris.Wrap(err, "current value is not an object; replace it with --value")
		}
	}
	for _, assignment := range v.fields {
		field, value, ok := strings.Cut(assignment, "=")
		if !ok || field == "" {
			return nil, fmt.Errorf("--field %q has no value; write for example max_tokens=500", assignment)
		}
		encoded, err := encodeField(value)
		if err != nil {
			return nil, err
		}
		fields[field] = encoded
	}
	return json.Marshal(fields)
}

// encodeField returns value unchanged if it is valid JSON, and as a JSON string otherwise.
func encodeField(value string) (json.RawMessage, error) {
	if json.Valid([]byte(value)) {
		return json.RawMessage(value), nil
	}
	return json.Marshal(value)
}
