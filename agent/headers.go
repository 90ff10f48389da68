package agent

import (
	"net/http"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// forwardedHeaders are the only caller headers that reach the upstream. The entry filters by a list too; the second
// filter keeps a key from the upstream when an entry is misconfigured, and the shared credential in any case.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Content-Language", "Idempotency-Key", "If-Match",
	"If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range",
}

// responseHeaders are the upstream headers that go back to the entry.
var responseHeaders = []string{
	"Accept-Ranges", "Allow", "Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Range",
	"Content-Type", "Etag", "Expires", "Last-Modified", "Link", "Location", "Retry-After", "Vary",
}

func copyHeaders(dst, src http.Header, names []string) {
	for _, name := range names {
		if values := src[name]; len(values) > 0 {
			dst[name] = append([]string(nil), values...)
		}
	}
}

func newUpstreamHeader(c call, callerHeader http.Header) http.Header {
	h := http.Header{}
	copyHeaders(h, callerHeader, forwardedHeaders)
	h.Set("User-Agent", "radishshelf-agent")
	h.Set(engineapi.HeaderRequestID, c.requestID)
	if c.workspace != "" {
		h.Set(engineapi.HeaderCacheSalt, c.workspace)
	}
	return h
}
