package fleetconfig

import (
	"encoding/json"
	"slices"
	"strings"
)

// Scope types of an Exception.
const (
	ScopeWorkspace  = "workspace"
	ScopePolicy     = "policy"
	ScopeDataCentre = "data-centre"
)

// exceptionScopes maps each field of Defaults that may have exceptions to the scope types that it supports.
var exceptionScopes = map[string][]string{
	"tokens_per_second":  {ScopeWorkspace},
	"max_tokens":         {ScopeWorkspace, ScopePolicy},
	"request_timeout_ms": {ScopeWorkspace, ScopePolicy},
	"min_upstreams":      {ScopeDataCentre, ScopePolicy},
	"max_upstreams":      {ScopeDataCentre, ScopePolicy},
}

func (e *Exception) validate(c *checker) {
	if strings.TrimSpace(e.Reason) == "" {
		c.add("reason", "the reason is missing", "write why the exception is needed; other operators rely on it")
	}
	scope, name, _ := strings.Cut(e.Scope, "/")
	e.validateScope(c, scope, name)
	scopes, ok := exceptionScopes[e.Field]
	if !ok {
		c.add("field", "the field does not support exceptions", "use one of "+exceptionFields())
		return
	}
	if !slices.Contains(scopes, scope) {
		c.add("scope", "field "+e.Field+" does not support exceptions for a "+scope,
			"use a scope of type "+strings.Join(scopes, " or "))
	}
	e.validateValue(c)
	for other, existing := range c.view.Exceptions() {
		if other != c.name && existing.Scope == e.Scope && existing.Field == e.Field {
			c.add("field", "exception \""+other+"\" has the same scope and field", "change that exception instead")
		}
	}
}

func (e *Exception) validateScope(c *checker, scope, name string) {
	if name == "" {
		c.add("scope", "the scope lacks a name", `write for example "workspace/dispatch"`)
		return
	}
	switch scope {
	case ScopeWorkspace:
		c.requireExists("scope", KindWorkspace, name)
	case ScopePolicy:
		c.requireExists("scope", KindPolicy, name)
	case ScopeDataCentre:
	default:
		c.add("scope", "the scope is unknown", "use "+ScopeWorkspace+"/, "+ScopePolicy+"/ or "+ScopeDataCentre+"/ and a name")
	}
}

// validateValue validates the defaults with the exception applied, because they have to be valid as a whole.
func (e *Exception) validateValue(c *checker) {
	merged := c.view.Defaults()
	if err := e.apply(&merged); err != nil {
		c.add("value", "the value does not fit field "+e.Field, "write a JSON number of the type of the field")
		return
	}
	defaultsChecker := &checker{kind: c.kind, name: DefaultsName, view: c.view}
	merged.validate(defaultsChecker)
	if err := defaultsChecker.err(); err != nil {
		c.add("value", "the value makes the defaults invalid: "+err.Error(), "choose another value")
	}
}

// apply sets the field of d that the exception overrides to its value.
func (e *Exception) apply(d *Defaults) error {
	field, err := json.Marshal(map[string]json.RawMessage{e.Field: e.Value})
	if err != nil {
		return err
	}
	return json.Unmarshal(field, d)
}

func exceptionFields() string {
	var fields []string
	for field := range exceptionScopes {
		fields = append(fields, field)
	}
	slices.Sort(fields)
	return strings.Join(fields, ", ")
}
