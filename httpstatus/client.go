package httpstatus

import "net/http"

// NewClient returns a client for calls to one address. A response that cannot end its request is an error, as no response
// is, and redirections are not followed: a call that is meant for one address must not take effect at another.
func NewClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NewTransport returns a transport that fails if a response cannot end its request.
func NewTransport(base http.RoundTripper) http.RoundTripper { return checkedTransport{base} }

// checkedTransport returns an *Error instead of a response that cannot end its request.
type checkedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r.WithContext(WithInterimCheck(r.Context())))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
