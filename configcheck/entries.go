package configcheck

import "slices"

func (c *checker) checkServices() {
	used := map[string]bool{}
	for _, r := range c.b.Routes {
		for _, t := range r.Targets {
			used[t.Service] = used[t.Service] || t.Weight > 0
		}
	}
	names := map[string]int{}
	for i, s := range c.b.Services {
		f := c.at(PartService, i, s.Name)
		c.checkName(f, s.Name, names)
		if !used[s.Name] && s.Name != "" {
			f.add(Warning, "", "remove it, or name it in a route", "no route sends it requests")
		}
		models := map[string]bool{}
		for k, model := range s.Models {
			switch {
			case model == "":
				f.addItem(Error, FieldModels, k+1, "name it", "a model has no name")
			case models[model]:
				f.addItem(Warning, FieldModels, k+1, "remove one of them", "model %q stands twice", model)
			}
			models[model] = true
		}
		if s.Scaling != nil && s.Scaling.Min > s.Scaling.Max {
			f.add(Error, FieldScaling, "lower the minimum, or raise the maximum",
				"at least %d upstreams, but at most %d", s.Scaling.Min, s.Scaling.Max)
		}
	}
}

// keyPlace is where a key stands.
type keyPlace struct {
	workspace Place
	item      int
}

func (c *checker) checkWorkspaces() {
	names, keys := map[string]int{}, map[string]keyPlace{}
	for i, w := range c.b.Workspaces {
		f := c.at(PartWorkspace, i, w.Workspace.Name)
		c.checkName(f, w.Workspace.Name, names)
		if len(w.Keys) == 0 {
			f.add(Warning, FieldKeys, "add a key, or remove the workspace", "has no key: none of its callers is served")
		}
		for k, key := range w.Keys {
			checkKey(f, key, k+1, keys)
		}
		c.checkRegions(f, w.Workspace.Homes.List())
	}
	c.checkCommonRegions()
}

// checkKey checks the item-th key of a workspace. seen holds the keys before it.
func checkKey(f findings, key string, item int, seen map[string]keyPlace) {
	other, ok := seen[key]
	switch {
	case key == "":
		f.addItem(Error, FieldKeys, item, "remove it", "key %d is empty and opens nothing", item)
	case ok && other.workspace == f.place:
		f.addItem(Warning, FieldKeys, item, "remove one of them", "key %d is the same as key %d", item, other.item)
	case ok:
		f.addItem(Error, FieldKeys, item, "give each workspace keys of its own",
			"key %d is also key %d of %s, whose callers would act for this one", item, other.item, other.workspace)
	default:
		seen[key] = keyPlace{f.place, item}
	}
}

// checkRegions reports regions that do not exist.
func (c *checker) checkRegions(f findings, regions []string) {
	if c.o.Regions == nil {
		return
	}
	for i, region := range regions {
		if !slices.Contains(c.o.Regions, region) {
			f.addItem(Error, FieldHomes, i+1, "name one of "+join(c.o.Regions), "region %q does not exist", region)
		}
	}
}

// checkCommonRegions reports routes whose requests have no region in which they may be served.
func (c *checker) checkCommonRegions() {
	for i, r := range c.b.Routes {
		if r.Public || len(c.b.Workspaces) == 0 {
			continue
		}
		var without []string
		for _, w := range c.b.Workspaces {
			if both := r.Homes.And(w.Workspace.Homes); both.Restricted() && len(both.List()) == 0 {
				without = append(without, w.Workspace.Name)
			}
		}
		f := c.at(PartRoute, i, r.Name)
		const remedy = "give both a region in common, or none"
		switch {
		case len(without) == 0:
		case len(without) == len(c.b.Workspaces):
			f.add(Error, FieldHomes, remedy, "every request is refused: the route has no region in common with any workspace")
		default:
			f.add(Warning, FieldHomes, remedy, "requests of %s are refused: they have no region in common with the route", join(without))
		}
	}
}

// checkLimits reports limits on the head that no request to a route fits.
func (c *checker) checkLimits() {
	limit := c.b.Limits.HeaderBytes
	if limit <= 0 {
		return
	}
	key := 0
	for _, w := range c.b.Workspaces {
		for _, k := range w.Keys {
			key = max(key, len(k))
		}
	}
	largest, at := 0, Place{}
	for i, r := range c.b.Routes {
		size := c.o.HeaderBytes + len(r.Host) + len(r.PathPrefix)
		if !r.Public {
			size += key
		}
		if size > largest {
			largest, at = size, Place{Part: PartRoute, Number: i + 1, Name: r.Name}
		}
	}
	if largest > limit {
		f := findings{place: Place{Part: PartLimits}, list: &c.list}
		f.add(Error, FieldHeaderBytes, "raise it", "no request to %s fits: its head has %d bytes or more, but %d are allowed", at, largest, limit)
	}
}
