package jsonshape

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// object is a JSON object with its members in their order, which may share a name.
type object []member

type member struct {
	name  string
	value any
}

// maxDepth bounds the nesting of a text, so that it cannot exhaust the stack.
const maxDepth = 100

// parse parses a JSON text into objects, []any, string, json.Number, bool and nil.
func parse(data []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	value, err := parseValue(decoder, 0)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("text after the end of the value")
	}
	return value, nil
}

func parseValue(decoder *json.Decoder, depth int) (any, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	delim, ok := token.(json.Delim)
	switch {
	case !ok:
		return token, nil
	case depth >= maxDepth:
		return nil, fmt.Errorf("nested more than %d levels deep", maxDepth)
	case delim == '{':
		return parseObject(decoder, depth+1)
	default:
		return parseList(decoder, depth+1)
	}
}

func parseObject(decoder *json.Decoder, depth int) (any, error) {
	o := object{}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		value, err := parseValue(decoder, depth)
		if err != nil {
			return nil, err
		}
		text, _ := name.(string) // the decoder returns nothing else as a name
		o = append(o, member{text, value})
	}
	_, err := decoder.Token()
	return o, err
}

func parseList(decoder *json.Decoder, depth int) (any, error) {
	list := []any{}
	for decoder.More() {
		value, err := parseValue(decoder, depth)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := decoder.Token()
	return list, err
}
