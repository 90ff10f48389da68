package fleetconfig

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
)

// View is an immutable, indexed snapshot of the configuration. Readers share it; the maps that it returns must not be
// modified.
type View struct {
	objects    map[ID]Object
	revision   int64
	defaults   Defaults
	exceptions map[string]Exception
	policies   map[string]Policy
	workspaces map[string]Workspace
	keys       map[string]Key
	keyByHash  map[string]string
	routeByID  map[string]Route
	routes     routeIndex
	upstreams  []NamedUpstream
	trainers   map[string]Trainer
	rollouts   map[string]Rollout
}

// NamedUpstream is an upstream with its name.
type NamedUpstream struct {
	Name string
	Upstream
}

func newView(objects map[ID]Object, revision int64) *View {
	v := &View{objects: objects, revision: revision, keyByHash: make(map[string]string)}
	v.exceptions = decodeAll[Exception](objects, KindException)
	v.policies = decodeAll[Policy](objects, KindPolicy)
	v.workspaces = decodeAll[Workspace](objects, KindWorkspace)
	v.keys = decodeAll[Key](objects, KindKey)
	v.routeByID = decodeAll[Route](objects, KindRoute)
	v.trainers = decodeAll[Trainer](objects, KindTrainer)
	v.rollouts = decodeAll[Rollout](objects, KindRollout)
	v.defaults = withBuiltinDefaults(decodeAll[Defaults](objects, KindDefaults)[DefaultsName])
	v.routes = newRouteIndex(v.routeByID)
	for id, k := range v.keys {
		v.keyByHash[k.SecretHash] = id
	}
	for name, u := range decodeAll[Upstream](objects, KindUpstream) {
		v.upstreams = append(v.upstreams, NamedUpstream{Name: name, Upstream: u})
	}
	slices.SortFunc(v.upstreams, func(a, b NamedUpstream) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// decodeAll decodes the objects of a kind by name. It skips values that this software version cannot decode: a newer
// version validated and wrote them.
func decodeAll[T any](objects map[ID]Object, kind Kind) map[string]T {
	all := make(map[string]T)
	for id, o := range objects {
		var value T
		if id.Kind == kind && !o.Deleted && json.Unmarshal(o.Value, &value) == nil {
			all[id.Name] = value
		}
	}
	return all
}

// Revision returns the revision up to which the snapshot contains all changes.
func (v *View) Revision() int64 { return v.revision }

// Object returns an object that is not deleted.
func (v *View) Object(kind Kind, name string) (Object, bool) {
	o, ok := v.objects[ID{Kind: kind, Name: name}]
	return o, ok && !o.Deleted
}

// Objects returns the objects of a kind that are not deleted, ordered by name.
func (v *View) Objects(kind Kind) []Object {
	var all []Object
	for id, o := range v.objects {
		if id.Kind == kind && !o.Deleted {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Since returns the objects whose revision is above the given one, including deleted ones, ordered by revision.
func (v *View) Since(revision int64) []Object {
	var newer []Object
	for o := range maps.Values(v.objects) {
		if o.Revision > revision {
			newer = append(newer, o)
		}
	}
	slices.SortFunc(newer, byRevision)
	return newer
}

// Policy returns a policy by name.
func (v *View) Policy(name string) (Policy, bool) { return lookup(v.policies, name) }

// Policies returns all policies by name.
func (v *View) Policies() map[string]Policy { return v.policies }

// Workspace returns a workspace by name.
func (v *View) Workspace(name string) (Workspace, bool) { return lookup(v.workspaces, name) }

// Workspaces returns all workspaces by name.
func (v *View) Workspaces() map[string]Workspace { return v.workspaces }

// Key returns a key by id. Withdrawn keys are included.
func (v *View) Key(id string) (Key, bool) { return lookup(v.keys, id) }

// Keys returns all keys by id. Withdrawn keys are included.
func (v *View) Keys() map[string]Key { return v.keys }

// KeyByHash returns the key whose secret has the given hash; see HashSecret. The key may be withdrawn, which the caller
// has to check.
func (v *View) KeyByHash(hash string) (id string, key Key, ok bool) {
	id, ok = v.keyByHash[hash]
	return id, v.keys[id], ok
}

// Route returns a route by name.
func (v *View) Route(name string) (Route, bool) { return lookup(v.routeByID, name) }

// Routes returns all routes by name.
func (v *View) Routes() map[string]Route { return v.routeByID }

// RouteFor returns the route whose path prefix is the longest one that matches path by whole segments.
func (v *View) RouteFor(path string) (name string, route Route, ok bool) {
	name, ok = v.routes.find(path)
	return name, v.routeByID[name], ok
}

// Upstreams returns the configured upstreams ordered by name.
func (v *View) Upstreams() []NamedUpstream { return v.upstreams }

// Upstream returns a configured upstream by name.
func (v *View) Upstream(name string) (Upstream, bool) {
	at, ok := slices.BinarySearchFunc(v.upstreams, name, func(u NamedUpstream, name string) int {
		return cmp.Compare(u.Name, name)
	})
	if !ok {
		return Upstream{}, false
	}
	return v.upstreams[at].Upstream, true
}

// Trainer returns a trainer by name.
func (v *View) Trainer(name string) (Trainer, bool) { return lookup(v.trainers, name) }

// Trainers returns all trainers by name.
func (v *View) Trainers() map[string]Trainer { return v.trainers }

// Rollout returns the rollout of a policy by the name of the policy.
func (v *View) Rollout(policy string) (Rollout, bool) { return lookup(v.rollouts, policy) }

// Rollouts returns all rollouts by policy.
func (v *View) Rollouts() map[string]Rollout { return v.rollouts }

// Exceptions returns all exceptions by name.
func (v *View) Exceptions() map[string]Exception { return v.exceptions }

func lookup[T any](all map[string]T, name string) (T, bool) {
	value, ok := all[name]
	return value, ok
}
