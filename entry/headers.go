package entry

import "net/http"

// forwardedHeaders are the request headers that are sent to an upstream. It is an allow list, so that a new credential
// header is not forwarded by default.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-Modified-Since",
	"If-None-Match", "If-Unmodified-Since", "Range",
}

// returnedHeaders are the response headers that are returned to a caller.
var returnedHeaders = []string{
	"Accept-Ranges", "Allow", "Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language",
	"Content-Range", "Content-Type", "Etag", "Expires",
	"Last-Modified", "Link", "Location", "Retry-After", "Vary",
}

// copyHeaders returns a copy of the named headers.
func copyHeaders(from http.Header, names []string) http.Header {
	to := make(http.Header, len(names))
	for _, name := range names {
		if values := from.Values(name); len(values) > 0 {
			to[name] = append([]string(nil), values...)
		}
	}
	return to
}
