package jsonshape

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Problem is a place in a text that does not fit its type.
type Problem struct {
	// Path is where it is, such as routes[3].timeout_ms, from 0; empty for the whole text.
	Path string
	// Severe problems make the value differ from what is written; others may be meant.
	Severe bool
	// Problem describes what is wrong, and Remedy how to correct it.
	Problem, Remedy string
}

// Check returns the problems of a JSON text that is decoded into a value of type t, in the order of the text. t is made of
// structs with JSON tags, slices, pointers, texts, booleans and numbers. Names that are no field are allowed unless they
// resemble one that is absent.
func Check(data []byte, t reflect.Type) []Problem {
	value, err := parse(data)
	if err != nil {
		return []Problem{{Severe: true, Problem: "the text is not JSON: " + describe(data, err), Remedy: "correct the syntax"}}
	}
	c := &checker{}
	c.check("", value, t)
	return c.problems
}

// describe adds the line of a syntax error.
func describe(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	before := data[:min(max(syntax.Offset, 0), int64(len(data)))]
	return fmt.Sprintf("%v in line %d", err, bytes.Count(before, []byte("\n"))+1)
}

type checker struct{ problems []Problem }

func (c *checker) add(path string, severe bool, problem, remedy string) {
	c.problems = append(c.problems, Problem{Path: path, Severe: severe, Problem: problem, Remedy: remedy})
}

// check checks a value that is decoded into type t. A null leaves every type as it is.
func (c *checker) check(path string, value any, t reflect.Type) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if value == nil {
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		if o, ok := value.(object); ok {
			c.checkObject(path, o, t)
			return
		}
	case reflect.Slice:
		if list, ok := value.([]any); ok {
			for i, v := range list {
				c.check(fmt.Sprintf("%s[%d]", path, i), v, t.Elem())
			}
			return
		}
	case reflect.String:
		if _, ok := value.(string); ok {
			return
		}
	case reflect.Bool:
		if _, ok := value.(bool); ok {
			return
		}
	default:
		if number, ok := value.(json.Number); ok {
			c.checkNumber(path, number, t)
			return
		}
	}
	c.add(path, true, "is "+nameOf(value), "write "+nameOfType(t))
}

func (c *checker) checkNumber(path string, number json.Number, t reflect.Type) {
	text := number.String()
	var err error
	if t.Kind() == reflect.Float64 {
		_, err = number.Float64()
	} else {
		_, err = strconv.ParseInt(text, 10, t.Bits())
	}
	switch {
	case err != nil:
		c.add(path, true, text+" is not "+nameOfType(t), "write "+nameOfType(t)+" in its range")
	case strings.HasPrefix(text, "-"):
		c.add(path, true, text+" is negative and counts as another value", "write a number from 0 on")
	}
}

func (c *checker) checkObject(path string, o object, t reflect.Type) {
	fields := map[string]reflect.Type{} // by their names in lower case, which is how encoding/json finds them
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[strings.ToLower(name)] = t.Field(i).Type
	}
	present := map[string]bool{}
	for _, m := range o {
		name := strings.ToLower(m.name)
		if present[name] {
			c.add(join(path, m.name), true, "stands twice; only the last one counts", "remove one of them")
		}
		present[name] = true
	}
	for _, m := range o {
		if field, ok := fields[strings.ToLower(m.name)]; ok {
			c.check(join(path, m.name), m.value, field)
		} else if similar, ok := misspelt(m.name, fields, present); ok {
			c.add(join(path, m.name), false, "is no field that this program reads, but resembles "+similar, "write "+similar+" if it is meant")
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func nameOf(value any) string {
	switch value.(type) {
	case object:
		return "an object"
	case []any:
		return "a list"
	case string:
		return "a text"
	case bool:
		return "a boolean"
	default:
		return "a number"
	}
}

func nameOfType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
