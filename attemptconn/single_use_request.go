package attemptconn

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// idempotencyKeyHeaders make net/http resend a request of any method when a reused connection closes without a
// response.
var idempotencyKeyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// newSingleUseRequest returns a copy of a request that net/http does not resend after part of it was sent: the upstream
// may have run it, and the caller of this package decides whether it may run again.
func newSingleUseRequest(ctx context.Context, req *http.Request) (*http.Request, error) {
	once := req.WithContext(ctx)
	if req.GetBody != nil {
		body, err := req.GetBody()
		if err != nil {
			return nil, err
		}
		once.Body = body
	}
	for _, name := range idempotencyKeyHeaders {
		if values, ok := once.Header[name]; ok {
			// net/http looks up the canonical name only; upstreams accept any case.
			delete(once.Header, name)
			once.Header[strings.ToLower(name)] = values
		}
	}
	switch once.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		// net/http resends these methods unless their body cannot be read again.
		once.GetBody = nil
		once.Body = singleUseBody{once.Body}
	}
	return once, nil
}

// singleUseBody hides the type of a body, so that net/http cannot rewind it.
type singleUseBody struct{ io.ReadCloser }
