package fleetconfig

import "strings"

// routeIndex finds the route with the longest matching path prefix.
type routeIndex struct{ byPrefix map[string]string }

func newRouteIndex(routes map[string]Route) routeIndex {
	index := routeIndex{byPrefix: make(map[string]string, len(routes))}
	for name, r := range routes {
		index.byPrefix[trimTrailingSlashes(r.PathPrefix)] = name
	}
	return index
}

// find returns the name of the route with the longest matching prefix. It matches whole path segments: "/fares" matches
// "/fares/today", but not "/fares2".
func (x routeIndex) find(path string) (string, bool) {
	for p := trimTrailingSlashes(path); p != ""; p = p[:strings.LastIndexByte(p, '/')] {
		if name, ok := x.byPrefix[p]; ok {
			return name, true
		}
		if !strings.Contains(p, "/") {
			break
		}
	}
	return "", false
}

// trimTrailingSlashes normalizes a prefix, so that "/fares/" and "/fares" are the same.
func trimTrailingSlashes(p string) string { return strings.TrimRight(p, "/") }
