package httpstatus

import (
	"net/http"

	"github.com/radishshelf/radishshelf/clientconn"
)

// NewClient returns a client for calls to one address, which takes over the transport. A response that cannot end its
// request is an error, as no response is, and redirections are not followed: a call that is meant for one address must not
// take effect at another.
func NewClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Transport fails if a response cannot end its request, and if the end of a connection does not prove a response complete.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that takes over base. The base must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	base.DialContext = clientconn.NewDialFunc(base.DialContext)
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. After an error the connection is closed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, tracker := clientconn.Track(withInterimCheck(r.Context()))
	resp, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		tracker.CloseConn()
		return nil, err
	}
	if err := checkResponse(resp, tracker.Head()); err != nil {
		tracker.CloseConn()
		resp.Body.Close()
		return nil, err
	}
	tracker.Accept(resp)
	return resp, nil
}

func checkResponse(resp *http.Response, head clientconn.Head) error {
	if err := Check(resp); err != nil {
		return err
	}
	return checkHead(resp, head)
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
