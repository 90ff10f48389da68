package fleetconfig

import (
	"maps"
	"slices"
)

// Values used for fields that are zero in the Defaults object.
const (
	builtinMaxTokens          = 4096
	builtinRequestTimeoutMs   = 120_000
	builtinMaxEntries         = 16
	builtinUsageWindowSeconds = 3600
	builtinMinUpstreams       = 1
	builtinMaxUpstreams       = 64
)

// Scope selects what effective values are computed for. Empty fields are ignored.
type Scope struct {
	Workspace  string
	Policy     string
	DataCentre string
}

// Defaults returns the fleet-wide values, with built-in values for unset fields and without exceptions.
func (v *View) Defaults() Defaults { return v.defaults }

// Effective returns the fleet-wide values overridden by, in order of increasing precedence, the limits of the policy
// and of the workspace and the exceptions for the data centre, the policy and the workspace.
func (v *View) Effective(scope Scope) Defaults {
	d := v.defaults
	if p, ok := v.policies[scope.Policy]; ok && p.MaxTokens > 0 {
		d.MaxTokens = p.MaxTokens
	}
	if w, ok := v.workspaces[scope.Workspace]; ok && w.TokensPerSecond > 0 {
		d.TokensPerSecond = w.TokensPerSecond
	}
	v.applyExceptions(&d, ScopeDataCentre, scope.DataCentre)
	v.applyExceptions(&d, ScopePolicy, scope.Policy)
	v.applyExceptions(&d, ScopeWorkspace, scope.Workspace)
	return d
}

func (v *View) applyExceptions(d *Defaults, scope, name string) {
	if name == "" || len(v.exceptions) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(v.exceptions)) {
		e := v.exceptions[id]
		if e.Scope != scope+"/"+name {
			continue
		}
		changed := *d
		if e.apply(&changed) == nil { // fails only for a value that this version cannot decode; writes are validated
			*d = changed
		}
	}
}

func withBuiltinDefaults(d Defaults) Defaults {
	setIfZero(&d.MaxTokens, builtinMaxTokens)
	setIfZero(&d.RequestTimeoutMs, builtinRequestTimeoutMs)
	setIfZero(&d.MaxEntries, builtinMaxEntries)
	setIfZero(&d.UsageWindowSeconds, builtinUsageWindowSeconds)
	setIfZero(&d.MaxUpstreams, max(builtinMaxUpstreams, d.MinUpstreams))
	setIfZero(&d.MinUpstreams, min(builtinMinUpstreams, d.MaxUpstreams))
	return d
}

func setIfZero[T int | int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
