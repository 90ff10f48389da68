package httpapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/hosting"
)

// fixedResponse is a transport that returns the same response to every request.
type fixedResponse struct {
	status int
	body   string
}

// RoundTrip implements http.RoundTripper.
func (f fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: f.status, Status: "fixed", Proto: "HTTP/1.1", Header: http.Header{},
		Body: io.NopCloser(strings.NewReader(f.body)), Request: r,
	}, nil
}

// Guards against a platform response that causes a panic or an error that is not a *hosting.Error, or that makes a
// write appear refused although it may have taken effect.
func FuzzClientAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, status int, body string) {
		if status < 200 || status > 599 || (status >= 300 && status < 400) {
			return // net/http handles these statuses itself
		}
		c := &client{baseURL: "http://127.0.0.1:1", http: &http.Client{Transport: fixedResponse{status, body}}, timeout: DefaultTimeout}
		ctx := context.Background()
		check := func(op string, err error) {
			var typedErr *hosting.Error
			if err != nil && (!errors.As(err, &typedErr) || typedErr.Kind == "" || typedErr.Op == "") {
				t.Errorf("%s: %v is not typed", op, err)
			}
		}
		var result hosting.TxnResult
		err := c.callJSON(ctx, "commit", "/v1/table/commit", write, hosting.Txn{}, &result)
		check("commit", err)
		if err != nil && !strings.Contains(body, `ind"`) && !hosting.IsKind(err, hosting.KindUnknown) {
			t.Errorf("commit with the response %d %q: %v; want KindUnknown", status, body, err)
		}
		var rows []hosting.Row
		check("scan", c.callJSON(ctx, "scan", "/v1/table/scan", read, struct{}{}, &rows))
		_, err = c.send(ctx, "get", http.MethodGet, "/v1/objects/x", read, nil, 16)
		check("get", err)
	})
}
