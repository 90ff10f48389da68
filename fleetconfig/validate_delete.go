package fleetconfig

import "slices"

// ValidateDelete refuses the deletion of an object that others refer to.
func ValidateDelete(view *View, kind Kind, name string) error {
	c := &checker{kind: kind, name: name, view: view}
	if _, ok := view.Object(kind, name); !ok {
		c.add("", "the object does not exist", "check the name")
		return c.err()
	}
	switch kind {
	case KindPolicy:
		c.policyUnused(name)
	case KindWorkspace:
		c.workspaceUnused(name)
	case KindRoute:
		c.routeUnused(name)
	case KindTrainer:
		c.trainerUnused(name)
	}
	return c.err()
}

func (c *checker) usedBy(kind Kind, name string) {
	c.add("", string(kind)+" \""+name+"\" refers to it", "change or delete that "+string(kind)+" first")
}

func (c *checker) policyUnused(name string) {
	for _, u := range c.view.Upstreams() {
		if u.Kind == UpstreamEngine && u.Serves == name {
			c.usedBy(KindUpstream, u.Name)
		}
	}
	for trainer, t := range c.view.Trainers() {
		if t.Policy == name {
			c.usedBy(KindTrainer, trainer)
		}
	}
	for workspace, w := range c.view.Workspaces() {
		if slices.Contains(w.Policies, name) {
			c.usedBy(KindWorkspace, workspace)
		}
	}
	c.scopeUnused(ScopePolicy + "/" + name)
	if _, ok := c.view.Rollout(name); ok {
		c.usedBy(KindRollout, name)
	}
}

func (c *checker) workspaceUnused(name string) {
	for id, k := range c.view.Keys() {
		if k.Workspace == name && !k.Withdrawn {
			c.add("", "key \""+id+"\" is still granted to it", "withdraw the key first")
		}
	}
	c.scopeUnused(ScopeWorkspace + "/" + name)
}

func (c *checker) routeUnused(name string) {
	for policy, p := range c.view.Policies() {
		if p.Scorer == name {
			c.usedBy(KindPolicy, policy)
		}
	}
	for workspace, w := range c.view.Workspaces() {
		if slices.Contains(w.Routes, name) {
			c.usedBy(KindWorkspace, workspace)
		}
	}
}

func (c *checker) trainerUnused(name string) {
	for policy, p := range c.view.Policies() {
		if p.Trainer == name {
			c.usedBy(KindPolicy, policy)
		}
	}
	for id, k := range c.view.Keys() {
		if k.Trainer == name && !k.Withdrawn {
			c.add("", "key \""+id+"\" is still granted to it", "withdraw the key first")
		}
	}
}

func (c *checker) scopeUnused(scope string) {
	for name, e := range c.view.Exceptions() {
		if e.Scope == scope {
			c.usedBy(KindException, name)
		}
	}
}
