package attemptconn

import (
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/radishshelf/radishshelf/clientconn"
	"github.com/radishshelf/radishshelf/httpstatus"
)

// Client sends attempts over the connections of a transport.
type Client struct {
	transport http.RoundTripper
	seed      maphash.Seed
}

// NewClient returns a client for plain HTTP that takes over a transport whose DialContext is set. The transport must not be
// used otherwise. What httpstatus takes for no response is an error.
func NewClient(transport *http.Transport) *Client {
	checked := httpstatus.NewTransport(transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c.(*clientconn.Conn)}, nil
	}
	return &Client{transport: checked, seed: maphash.MakeSeed()}
}

// Send sends an attempt once, over a connection that has not carried it before, and returns the response as
// http.RoundTripper does, with the connection. The connection is nil if none could be opened. A request with a body must
// have GetBody set.
func (c *Client) Send(req *http.Request, attempt string) (*http.Response, httptrace.GotConnInfo, error) {
	hash := maphash.String(c.seed, attempt)
	for {
		resp, used, rejected, err := c.try(req, hash)
		if !rejected {
			return resp, used, err
		}
		if err == nil {
			resp.Body.Close() // a second copy of an earlier response: the request was not sent
		}
	}
}

// try sends a request over any connection. rejected is set if nothing was sent, because the connection must not carry the
// attempt. That connection is closed, so that the number of tries is limited by the number of kept connections.
func (c *Client) try(req *http.Request, attempt uint64) (
	resp *http.Response, used httptrace.GotConnInfo, rejected bool, err error,
) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GetConn: func(string) { used, rejected = httptrace.GotConnInfo{}, false },
		GotConn: func(info httptrace.GotConnInfo) {
			used, rejected = info, !info.Conn.(*conn).claim(attempt)
			if rejected {
				_ = info.Conn.Close() // nothing can be written to it any more
			}
		},
	})
	once, err := newSingleUseRequest(ctx, req)
	if err != nil {
		return nil, used, false, err
	}
	resp, err = c.transport.RoundTrip(once)
	return resp, used, rejected, err
}
