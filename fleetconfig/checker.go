package fleetconfig

import "errors"

// checker collects the validation errors of one object, which it checks against the other objects in view.
type checker struct {
	kind Kind
	name string
	view *View
	errs []error
}

func (c *checker) add(field, problem, remedy string) {
	c.errs = append(c.errs, &ValidationError{Kind: c.kind, Name: c.name, Field: field, Problem: problem, Remedy: remedy})
}

func (c *checker) err() error { return errors.Join(c.errs...) }

// requireExists records an error and returns false if the named object does not exist. An empty name is no reference.
func (c *checker) requireExists(field string, kind Kind, name string) bool {
	if name == "" {
		return true
	}
	if _, ok := c.view.Object(kind, name); ok {
		return true
	}
	c.add(field, string(kind)+" \""+name+"\" does not exist", "create it first or correct the name")
	return false
}

func (c *checker) requireNonEmpty(field, value, example string) {
	if value == "" {
		c.add(field, "the value is missing", "set it, for example \""+example+"\"")
	}
}

func (c *checker) requireNonNegative(field string, negative bool) {
	if negative {
		c.add(field, "the value is negative", "write 0 or more")
	}
}
