package fleetconfig

import (
	"encoding/json"
	"slices"
	"strings"
)

// Types of scope of an exception.
const (
	ScopeWorkspace  = "workspace"
	ScopePolicy     = "policy"
	ScopeDataCentre = "data-centre"
)

// exceptionScopes lists the fields of Defaults that may have exceptions and the scopes that they make sense for.
var exceptionScopes = map[string][]string{
	"tokens_per_second":  {ScopeWorkspace},
	"max_tokens":         {ScopeWorkspace, ScopePolicy},
	"request_timeout_ms": {ScopeWorkspace, ScopePolicy},
	"min_upstreams":      {ScopeDataCentre, ScopePolicy},
	"max_upstreams":      {ScopeDataCentre, ScopePolicy},
}

func (e *Exception) validate(c *checker) {
	if strings.TrimSpace(e.Reason) == "" {
		c.add("reason", "the reason is missing", "write why the exception is needed, for the operators after you")
	}
	scope, name, _ := strings.Cut(e.Scope, "/")
	e.validateScope(c, scope, name)
	scopes, ok := exceptionScopes[e.Field]
	if !ok {
		c.add("field", "the field has no exceptions", "use one of "+exceptionFields())
		return
	}
	if !slices.Contains(scopes, scope) {
		c.add("scope", "field "+e.Field+" has no exception for a "+scope, "use a scope of type "+strings.Join(scopes, " or "))
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
		c.add("scope", "the scope has no name", `write for example "workspace/dispatch"`)
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

// validateValue applies the exception to the defaults, because the result has to be valid as a whole.
func (e *Exception) validateValue(c *checker) {
	merged := c.view.Defaults()
	if err := e.apply(&merged); err != nil {
		c.add("value", "the value does not fit field "+e.Field, "write a JSON number of the type of the field")
		return
	}
	defaultsChecker := &checker{kind: c.kind, name: DefaultsName, view: c.view}
	merged.validate(defaultsChecker)
	if err := defaultsChecker.err(); err != nil {
		c.add("value", "with this value the defaults are invalid: "+err.Error(), "choose another value")
	}
}

// apply overwrites the field of d that the exception names.
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
