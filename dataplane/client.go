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

	"github.com/radishshelf/radishshelf/outcome"
)

// Limits of the connections to agents.
const (
	// dialTimeout is short, so that a dead host costs little before the next upstream is tried.
	dialTimeout            = time.Second
	idleConnTimeout        = 90 * time.Second
	maxIdleConnsPerHost    = 64
	maxResponseHeaderBytes = 64 << 10
)

// Client sends calls to agents.
type Client struct {
	transport  *http.Transport
	scheme     string
	credential string
}

// NewClient returns a client. A nil config means plain TCP; credential is shown to agents as a bearer token when it is
// not empty.
func NewClient(config *tls.Config, credential string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &Client{
		scheme: scheme, credential: credential,
		transport: &http.Transport{
			DialContext: dialer.DialContext, TLSClientConfig: config, TLSHandshakeTimeout: dialTimeout,
			IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: maxIdleConnsPerHost,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			// The answer is passed on as it is; decompression would change its length and headers.
			DisableCompression: true,
		},
	}
}

// Close drops the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends call and returns the answer once its headers have arrived. Errors are *outcome.Refusal. NotRun is reported
// only when the agent said so or when no connection existed on which a byte could have been sent.
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

// checkResponse checks that resp belongs to call and tells an answer of the upstream from a refusal by the agent.
func (c *Client) checkResponse(call Call, resp *http.Response) (*Response, error) {
	if got := resp.Header.Get(HeaderRequestID); got != call.RequestID {
		// The connection carries answers out of step; closing the body before its end drops the connection.
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
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.NotRun, Status: http.StatusBadGateway,
		Message: "no connection to the agent at " + call.Address, Remedy: "repeat the request",
		RetryAfter: time.Second, Err: err,
	}
}

func noResponseRefusal(call Call, err error) *outcome.Refusal {
	r := &outcome.Refusal{
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.MayHaveRun, Status: http.StatusBadGateway,
		Message: "the agent at " + call.Address + " gave no answer",
		Remedy:  "look up the effect before repeating a request that must not run twice", RetryAfter: time.Second, Err: err,
	}
	if errors.Is(err, context.DeadlineExceeded) {
		r.Kind, r.Status, r.Message = outcome.KindDeadline, http.StatusGatewayTimeout, "the deadline passed before the answer"
	}
	return r
}

func wrongRequestRefusal(call Call, got string) *outcome.Refusal {
	return &outcome.Refusal{
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.MayHaveRun, Status: http.StatusBadGateway,
		Message: "the agent at " + call.Address + " answered for request " + quoteID(got),
		Remedy:  "look up the effect before repeating a request that must not run twice", RetryAfter: time.Second,
	}
}
