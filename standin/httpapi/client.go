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

// defaultMaxConnections is enough for several hundred calls a second at a few milliseconds each.
const defaultMaxConnections = 64

// access says whether a call may change the state of the platform.
type access bool

const (
	read  access = false
	write access = true
)

type client struct {
	base    string
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
	return &client{base: scheme + address, http: &http.Client{Transport: transport}, timeout: opts.Timeout}
}

// call posts request as JSON and decodes the answer into response.
func (c *client) call(ctx context.Context, op, path string, a access, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &hosting.Error{Kind: hosting.KindInvalid, Op: op, Err: err, Remedy: "correct the request"}
	}
	data, err := c.send(ctx, op, http.MethodPost, path, a, body, maxJSONBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, response); err != nil {
		return failed(op, a, true, eris.Wrap(err, "answer is not understood"))
	}
	return nil
}

// send makes one call and returns the body of a successful answer.
func (c *client) send(ctx context.Context, op, method, path string, a access, body []byte, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.open(ctx, op, method, path, a, body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("answer exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, failed(op, a, true, err)
	}
	return data, nil
}

// open makes one call and returns a successful answer whose body the caller closes.
func (c *client) open(ctx context.Context, op, method, path string, a access, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &hosting.Error{Kind: hosting.KindInvalid, Op: op, Err: err, Remedy: "correct the address or the name"}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, failed(op, a, connected.Load(), err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, refused(op, a, resp)
}

// failed classifies a call without an answer. A write on an established connection may have taken effect.
func failed(op string, a access, connected bool, err error) error {
	if a == write && connected {
		return &hosting.Error{
			Kind: hosting.KindUnknown, Op: op, Err: err, Remedy: "look the result up before repeating the call",
		}
	}
	return &hosting.Error{Kind: hosting.KindUnavailable, Op: op, Err: err, Remedy: "repeat the call later"}
}

// refused turns an error answer into the hosting.Error that the server sent.
func refused(op string, a access, resp *http.Response) error {
	var body errorBody
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxHeaderBytes))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil || body.Kind == "" {
		return failed(op, a, true, fmt.Errorf("answer %s without an error body", resp.Status))
	}
	return &hosting.Error{Kind: body.Kind, Op: op, Err: errors.New(body.Message), Remedy: body.Remedy}
}
