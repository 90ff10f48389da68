package dataplane

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/radishshelf/radishshelf/httpstatus"
	"github.com/radishshelf/radishshelf/outcome"
)

// Limits of connections to agents.
const (
	// dialTimeout is short, so that a dead host delays the next attempt only a little.
	dialTimeout            = time.Second
	idleConnTimeout        = 90 * time.Second
	maxIdleConnsPerHost    = 64
	maxResponseHeaderBytes = 64 << 10
)

// Client sends calls to agents.
type Client struct {
	transport  *httpstatus.Transport
	scheme     string
	credential string
}

// NewClient returns a client. It uses plain TCP if config is nil. A credential that is not empty is sent to agents as a
// bearer token.
func NewClient(config *tls.Config, credential string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &Client{
		scheme: scheme, credential: credential,
		transport: httpstatus.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, TLSClientConfig: config, TLSHandshakeTimeout: dialTimeout,
			IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: maxIdleConnsPerHost,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			// The response is forwarded unchanged; decompression would change its length and headers.
			DisableCompression: true,
		}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends call and returns the response once its headers have arrived. Errors are *outcome.Refusal. The outcome is
// NotRun only if the agent said so or if there was no connection on which a byte could have been sent.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), c.scheme, call)
	if err != nil {
		return nil, notSentRefusal(call, err)
	}
	if c.credential != "" {
		req.Header.Set("Authorization", "Bearer "+c.credential)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		if !connected.Load() {
			return nil, notSentRefusal(call, err)
		}
		return nil, noResponseRefusal(call, err)
	}
	return c.checkResponse(call, resp)
}

// checkResponse checks that resp belongs to call and returns a refusal by the agent as an error.
func (c *Client) checkResponse(call Call, resp *http.Response) (*Response, error) {
	if got := resp.Header.Get(HeaderRequestID); got != call.RequestID {
		// The responses on this connection are out of step; closing the body before its end closes the connection.
		resp.Body.Close()
		return nil, wrongRequestRefusal(call, got)
	}
	if resp.Header.Get(HeaderRefusalKind) != "" {
		defer resp.Body.Close()
		return nil, decodeRefusal(call, resp)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, resp: resp}, nil
}

func notSentRefusal(call Call, err error) *outcome.Refusal {
	return &outcome.Refusal{
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
		Message: "no connection to the agent at " + call.Address, Remedy: remedyRepeat,
		RetryAfter: time.Second, Err: err,
	}
}

func noResponseRefusal(call Call, err error) *outcome.Refusal {
	r := &outcome.Refusal{
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.MayHaveRun, Status: http.StatusBadGateway,
		Message: "the agent at " + call.Address + " sent no response",
		Remedy:  remedyCheckEffect, RetryAfter: time.Second, Err: err,
	}
	if errors.Is(err, context.DeadlineExceeded) {
		r.Kind, r.Status, r.Message = outcome.KindDeadline, http.StatusGatewayTimeout, "the deadline passed before the response arrived"
	}
	return r
}

func wrongRequestRefusal(call Call, got string) *outcome.Refusal {
	return &outcome.Refusal{
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.MayHaveRun, Status: http.StatusBadGateway,
		Message: "the agent at " + call.Address + " sent a response for request " + quoteID(got),
		Remedy:  remedyCheckEffect, RetryAfter: time.Second,
	}
}
