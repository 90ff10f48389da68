package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
)

// defaultMaxConnections is sufficient for several hundred calls per second at a few milliseconds each.
const defaultMaxConnections = 64

// access states whether a call may change the state of the platform, which decides how its failure is classified.
type access bool

const (
	read  access = false
	write access = true
)

// client makes the HTTP calls of all services.
type client struct {
	baseURL string
	http    *http.Client
	timeout time.Duration
}

func newClient(address string, opts Options) *client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.MaxConnections <= 0 {
		opts.MaxConnections = defaultMaxConnections
	}
	scheme := "http://"
	if opts.TLS != nil {
		scheme = "https://"
	}
	transport := &http.Transport{
		TLSClientConfig: opts.TLS, MaxIdleConnsPerHost: opts.MaxConnections, MaxConnsPerHost: opts.MaxConnections,
		IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &client{baseURL: scheme + address, http: &http.Client{Transport: transport}, timeout: opts.Timeout}
}

// callJSON posts request as JSON and decodes the response body into response.
func (c *client) callJSON(ctx context.Context, op, path string, a access, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &hosting.Error{Kind: hosting.KindInvalid, Op: op, Err: err, Remedy: "correct the request"}
	}
	data, err := c.send(ctx, op, http.MethodPost, path, a, body, maxJSONBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, response); err != nil {
		return callError(op, a, true, eris.Wrap(err, "decode the response"))
	}
	return nil
}

// send makes one call and returns the body of a successful response. A body of more than limit bytes is an error.
func (c *client) send(ctx context.Context, op, method, path string, a access, body []byte, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.do(ctx, op, method, path, a, body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("response exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, callError(op, a, true, err)
	}
	return data, nil
}

// do makes one call and returns its response if the status is 200. The caller must close the response body.
func (c *client) do(ctx context.Context, op, method, path string, a access, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &hosting.Error{Kind: hosting.KindInvalid, Op: op, Err: err, Remedy: "correct the address or the name"}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, callError(op, a, connected.Load(), err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, responseError(op, a, resp)
}

// callError classifies the failure of a call without a usable response. A write on an established connection may have
// taken effect, so its result is unknown.
func callError(op string, a access, connected bool, err error) error {
	if a == write && connected {
		return &hosting.Error{
			Kind: hosting.KindUnknown, Op: op, Err: err, Remedy: "look the result up before repeating the call",
		}
	}
	return &hosting.Error{Kind: hosting.KindUnavailable, Op: op, Err: err, Remedy: "repeat the call later"}
}

// responseError returns the hosting.Error that an error response carries.
func responseError(op string, a access, resp *http.Response) error {
	var body errorBody
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxHeaderBytes))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil || body.Kind == "" {
		return callError(op, a, true, fmt.Errorf("response %s without an error body", resp.Status))
	}
	return &hosting.Error{Kind: body.Kind, Op: op, Err: errors.New(body.Message), Remedy: body.Remedy}
}
