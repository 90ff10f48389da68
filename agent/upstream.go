package agent

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/httpstatus"
	"github.com/radishshelf/radishshelf/outcome"
)

// Limits on connections to the upstream.
const (
	dialTimeout       = 2 * time.Second
	maxUpstreamHeader = 64 << 10
)

// upstream sends requests to the process beside the agent. No other process sends requests to it.
type upstream struct {
	base      string
	transport http.RoundTripper
}

// newUpstream returns an upstream that dials a new connection for every request. On a reused connection the agent could
// not tell an idle close by the upstream from a failure after the request was sent, and would have to report both as
// "may have run". The connections do not leave the host.
func newUpstream(base string) *upstream {
	return &upstream{base: base, transport: httpstatus.NewTransport(&http.Transport{
		Proxy: nil, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxUpstreamHeader,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	})}
}

// singleUseBody hides the type of the reader from net/http. With a bytes.Reader the request would get a GetBody
// function, so the transport could rewind the body and resend the request after a failure. A request that must run at
// most once would then run twice.
type singleUseBody struct{ r *bytes.Reader }

func (b singleUseBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b singleUseBody) Close() error               { return nil }

// send sends the request once. After an error, sent reports whether any byte of the request may have been sent.
func (u *upstream) send(ctx context.Context, c call, header http.Header, body []byte) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.method, u.base+c.target, nil)
	if err != nil {
		return nil, false, err
	}
	req.Header = header
	req.Header.Set(engineapi.HeaderPriority, strconv.Itoa(c.priority))
	if len(body) > 0 {
		req.Body = singleUseBody{r: bytes.NewReader(body)}
		req.ContentLength = int64(len(body))
	}
	if resp, err = u.transport.RoundTrip(req); err != nil {
		return nil, connected.Load(), err
	}
	return resp, true, nil
}

// sendErrorRefusal classifies a failed send. The outcome is "not run" only if no connection was established on which a
// byte could have been sent.
func sendErrorRefusal(err error, sent bool) *outcome.Refusal {
	r := &outcome.Refusal{
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.MayHaveRun, Status: http.StatusBadGateway,
		Message: "the upstream sent no response", Remedy: "check the effect before repeating the request",
		RetryAfter: defaultRetryAfter, Err: err,
	}
	if !sent {
		r.Outcome, r.Status = outcome.NotRun, http.StatusServiceUnavailable
		r.Message = "no connection to the upstream"
		r.Remedy = remedyRepeat
	}
	if errors.Is(err, context.DeadlineExceeded) {
		r.Kind, r.Status, r.Message = outcome.KindDeadline, http.StatusGatewayTimeout, "the deadline passed before the response arrived"
	}
	return r
}
