package agent

import (
	"net/http"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// forwardedHeaders are the only caller headers that are forwarded to the upstream. The entry also filters headers by an
// allowlist. This second filter keeps API keys from the upstream if an entry is misconfigured, and always removes the
// shared credential.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Content-Language", "Idempotency-Key", "If-Match",
	"If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range",
}

// responseHeaders are the upstream response headers that are returned to the entry.
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
