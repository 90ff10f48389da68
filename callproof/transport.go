package callproof

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// maxResponseBytes bounds a reply, which is checked as a whole. A full configuration is a few megabytes.
const maxResponseBytes = 32 << 20

// ErrUntrusted means that the reply does not prove the shared credential. It is not to be obeyed.
var ErrUntrusted = errors.New(
	"the reply does not prove the shared credential of the fleet; set the same credential_file on both sides")

// transport proves each request and checks each reply.
type transport struct {
	credential string
	next       http.RoundTripper
}

// Transport returns a RoundTripper that proves credential and returns ErrUntrusted for a reply without a proof. An empty
// credential turns both off.
func Transport(credential string, next http.RoundTripper) http.RoundTripper {
	if credential == "" {
		return next
	}
	return transport{credential: credential, next: next}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	nonce := newNonce()
	r = r.Clone(r.Context())
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.Header.Set(HeaderNonce, nonce)
	r.Header.Set(HeaderProof, requestProof(t.credential, nonce, r.Method, r.URL.EscapedPath(), body))
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	return t.verify(resp, nonce)
}

func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read request body")
	}
	return body, nil
}

// verify lets an unproven 401 pass: a process that does not accept the credential cannot prove its refusal, and the
// refusal orders nothing.
func (t transport) verify(resp *http.Response, nonce string) (*http.Response, error) {
	if resp.StatusCode == http.StatusUnauthorized {
		return resp, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read reply")
	}
	if len(body) > maxResponseBytes {
		return nil, fmt.Errorf("the reply is larger than %d bytes", maxResponseBytes)
	}
	if !equal(resp.Header.Get(HeaderProof), responseProof(t.credential, nonce, resp.StatusCode, body)) {
		return nil, ErrUntrusted
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}
