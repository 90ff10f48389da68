package dataplane

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
)

// singleUseBody is a body that net/http cannot rewind. With a bytes.Reader, http.NewRequest would set GetBody, and the
// transport would resend the request after a failure of a reused connection, although the agent may have run it.
type singleUseBody struct{ r *bytes.Reader }

func (b singleUseBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b singleUseBody) Close() error               { return nil }

func newRequest(ctx context.Context, scheme string, c Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+c.Address+RunPath, nil)
	if err != nil {
		return nil, err
	}
	req.Body = singleUseBody{r: bytes.NewReader(c.Body)}
	req.ContentLength = int64(len(c.Body))
	if len(c.Body) == 0 {
		// The transport treats a body of known length 0 as rewindable, but not one of unknown length.
		req.ContentLength = -1
	}
	for name, values := range c.Header {
		req.Header[name] = append([]string(nil), values...)
	}
	setCallHeaders(req.Header, c)
	return req, nil
}

func setCallHeaders(h http.Header, c Call) {
	h.Set(HeaderRequestID, c.RequestID)
	h.Set(HeaderAttempt, strconv.Itoa(c.Attempt))
	h.Set(HeaderWorkspace, c.Workspace)
	h.Set(HeaderPolicy, c.Policy)
	h.Set(HeaderTimeout, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	h.Set(HeaderMethod, c.Method)
	h.Set(HeaderTarget, c.Target)
	h.Set(HeaderIdempotent, strconv.FormatBool(c.Idempotent))
	h.Set(HeaderExclusive, strconv.FormatBool(c.Exclusive))
	h.Set(HeaderSample, strconv.FormatBool(c.Sample))
	h.Set(HeaderPriority, strconv.Itoa(c.Priority))
	if c.Fingerprint != "" {
		h.Set(HeaderFingerprint, c.Fingerprint)
	}
}

var _ io.ReadCloser = singleUseBody{}
