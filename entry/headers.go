package entry

import "net/http"

// forwardedHeaders are the request headers that an upstream receives. Everything else stays at the entry, so that a
// new credential header is safe without a change here.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-Modified-Since",
	"If-None-Match", "If-Unmodified-Since", "Range",
}

// returnedHeaders are the answer headers that a caller receives.
var returnedHeaders = []string{
	"Accept-Ranges", "Allow", "Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language",
	"Content-Range", "Content-Type", "Etag", "Expires",
	"Last-Modified", "Link", "Location", "Retry-After", "Vary",
}

func copyHeaders(from http.Header, names []string) http.Header {
	to := make(http.Header, len(names))
	for _, name := range names {
		if values := from.Values(name); len(values) > 0 {
			to[name] = append([]string(nil), values...)
		}
	}
	return to
}
