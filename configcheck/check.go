package configcheck

import (
	"github.com/radishshelf/radishshelf/serving"
)

// Options is what is known besides the configuration. The zero value knows nothing more.
type Options struct {
	// Regions are the regions that exist; nil if they are not known.
	Regions []string
	// ReservedPrefixes are the path prefixes that the hosts answer themselves, whatever the routes say.
	ReservedPrefixes []string
	// HeaderBytes is the size of the head of the smallest request, without its host, path and key.
	HeaderBytes int
	// InForce is the configuration in force; nil if it is not known.
	InForce *serving.Builder
}

// Check returns the findings of a configuration: of the whole, its routes, services, workspaces and limits, each in their
// order.
func Check(b serving.Builder, o Options) []Finding {
	c := &checker{b: b, o: o, services: map[string]*serving.Service{}}
	for _, s := range b.Services {
		c.services[s.Name] = s
	}
	c.checkWhole()
	c.checkRoutes()
	c.checkServices()
	c.checkWorkspaces()
	c.checkLimits()
	return c.list
}

type checker struct {
	b        serving.Builder
	o        Options
	services map[string]*serving.Service
	list     []Finding
}

func (c *checker) at(part Part, index int, name string) findings {
	return findings{place: Place{Part: part, Number: index + 1, Name: name}, list: &c.list}
}

func (c *checker) checkWhole() {
	f := findings{place: Place{Part: PartConfig}, list: &c.list}
	if len(c.b.Routes) == 0 {
		f.add(Error, "", "add a route", "no route: every request is refused")
	}
	if in := c.o.InForce; in != nil && c.b.Version <= in.Version {
		f.add(Error, FieldVersion, "set a higher one", "version %d is not higher than %d, which is in force", c.b.Version, in.Version)
	}
	if len(c.b.Workspaces) > 0 {
		return
	}
	for i, r := range c.b.Routes {
		if !r.Public {
			c.at(PartRoute, i, r.Name).add(Warning, FieldPublic, "add workspaces, or mark the route as public",
				"no key is needed although the route is not public: there are no workspaces")
		}
	}
}

// names reports entries without a name, and with one that another entry of the list has.
func (c *checker) checkName(f findings, name string, seen map[string]int) {
	if name == "" {
		f.add(Error, FieldName, "name it", "has no name")
		return
	}
	if first, ok := seen[name]; ok {
		f.add(Error, FieldName, "rename one of them", "has the name of the %s at position %d", f.place.Part, first)
		return
	}
	seen[name] = f.place.Number
}
