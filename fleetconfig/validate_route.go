package fleetconfig

import (
	"path"
	"strings"
)

// reservedPrefixes are the paths of the API that the entry itself serves to callers.
var reservedPrefixes = []string{"/v1/chat/completions", "/v1/rollout-groups", "/v1/trainers", "/v1/models"}

func (r *Route) validate(c *checker) {
	c.requireNonEmpty("service", r.Service, "fare-lookup")
	c.requireNonNegative("cost_tokens", r.CostTokens < 0)
	prefix := trimTrailingSlashes(r.PathPrefix)
	if !strings.HasPrefix(r.PathPrefix, "/") || prefix == "" || path.Clean(prefix) != prefix {
		c.add("path_prefix", "the prefix is not a clean absolute path", `write for example "/fares"`)
		return
	}
	for _, reserved := range reservedPrefixes {
		if hasPathPrefix(prefix, reserved) || hasPathPrefix(reserved, prefix) {
			c.add("path_prefix", "the prefix overlaps "+reserved+", which the entry serves itself", "choose another prefix")
		}
	}
	if name, ok := c.view.routes.byPrefix[prefix]; ok && name != c.name {
		c.add("path_prefix", "route \""+name+"\" has the same prefix", "choose another prefix or change that route")
	}
}

// hasPathPrefix reports whether p equals prefix or is below it.
func hasPathPrefix(p, prefix string) bool { return p == prefix || strings.HasPrefix(p, prefix+"/") }
