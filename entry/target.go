package entry

import (
	"net/http"
	"strings"

	"github.com/radishshelf/radishshelf/outcome"
)

// maxTargetBytes limits the length of the path and query.
const maxTargetBytes = 8 << 10

// checkTarget refuses paths that an upstream could interpret as a path other than the authorized one.
func checkTarget(r *http.Request) *outcome.Refusal {
	if len(r.RequestURI) > maxTargetBytes {
		return invalidRequest("the path and query are too long", "send large values in the body")
	}
	if r.URL.Path == "" || r.URL.Path[0] != '/' {
		return invalidRequest("the path does not begin with a slash", "send an absolute path")
	}
	escaped := strings.ToLower(r.URL.EscapedPath())
	if strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") || strings.Contains(r.URL.Path, `\`) {
		return invalidRequest("the path contains an encoded separator", "send plain path segments")
	}
	segments := strings.Split(r.URL.Path[1:], "/")
	for i, segment := range segments {
		if segment == "." || segment == ".." || segment == "" && i < len(segments)-1 {
			return invalidRequest("the path has an empty or relative segment", "send a normalized path")
		}
	}
	return nil
}

// hasPathPrefix reports whether path equals prefix or is below it, compared by whole segments.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/")
}
