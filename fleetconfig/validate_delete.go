package fleetconfig

import "slices"

// ValidateDelete returns an error if the object does not exist or other objects in view refer to it. All errors are
// joined; each is a *ValidationError.
func ValidateDelete(view *View, kind Kind, name string) error {
	c := &checker{kind: kind, name: name, view: view}
	if _, ok := view.Object(kind, name); !ok {
		c.add("", "the object does not exist", "check the name")
		return c.err()
	}
	switch kind {
	case KindPolicy:
		c.requirePolicyUnused(name)
	case KindWorkspace:
		c.requireWorkspaceUnused(name)
	case KindRoute:
		c.requireRouteUnused(name)
	case KindTrainer:
		c.requireTrainerUnused(name)
	}
	return c.err()
}

// addReference records that the named object refers to the one to delete.
func (c *checker) addReference(kind Kind, name string) {
	c.add("", string(kind)+" \""+name+"\" refers to it", "change or delete that "+string(kind)+" first")
}

func (c *checker) requirePolicyUnused(name string) {
	for _, u := range c.view.Upstreams() {
		if u.Kind == UpstreamEngine && u.Serves == name {
			c.addReference(KindUpstream, u.Name)
		}
	}
	for trainer, t := range c.view.Trainers() {
		if t.Policy == name {
			c.addReference(KindTrainer, trainer)
		}
	}
	for workspace, w := range c.view.Workspaces() {
		if slices.Contains(w.Policies, name) {
			c.addReference(KindWorkspace, workspace)
		}
	}
	c.requireScopeUnused(ScopePolicy + "/" + name)
	if _, ok := c.view.Rollout(name); ok {
		c.addReference(KindRollout, name)
	}
}

func (c *checker) requireWorkspaceUnused(name string) {
	for id, k := range c.view.Keys() {
		if k.Workspace == name && !k.Withdrawn {
			c.add("", "key \""+id+"\" is still granted to it", "withdraw the key first")
		}
	}
	c.requireScopeUnused(ScopeWorkspace + "/" + name)
}

func (c *checker) requireRouteUnused(name string) {
	for policy, p := range c.view.Policies() {
		if p.Scorer == name {
			c.addReference(KindPolicy, policy)
		}
	}
	for workspace, w := range c.view.Workspaces() {
		if slices.Contains(w.Routes, name) {
			c.addReference(KindWorkspace, workspace)
		}
	}
}

func (c *checker) requireTrainerUnused(name string) {
	for policy, p := range c.view.Policies() {
		if p.Trainer == name {
			c.addReference(KindPolicy, policy)
		}
	}
	for id, k := range c.view.Keys() {
		if k.Trainer == name && !k.Withdrawn {
			c.add("", "key \""+id+"\" is still granted to it", "withdraw the key first")
		}
	}
}

func (c *checker) requireScopeUnused(scope string) {
	for name, e := range c.view.Exceptions() {
		if e.Scope == scope {
			c.addReference(KindException, name)
		}
	}
}
