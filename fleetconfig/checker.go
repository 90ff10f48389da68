package fleetconfig

import "errors"

// checker collects the faults of one object against the objects that it refers to.
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

// requireExists records a fault unless the named object requireExists. An empty name refers to nothing.
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
