package callproof

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// maxResponseBytes is the maximum size of a response, which is buffered to verify its proof. A full configuration is a
// few megabytes.
const maxResponseBytes = 32 << 20

// ErrUntrusted means that a response has no valid proof of the shared credential and must not be used.
var ErrUntrusted = errors.New(
	"the response has no valid proof of the fleet's shared credential; set the same credential_file on both sides")

// transport adds a proof to each request and verifies the proof of each response.
type transport struct {
	credential string
	next       http.RoundTripper
}

// Transport returns a RoundTripper that adds a proof of credential to each request and returns ErrUntrusted for a
// response without a valid proof. An empty credential disables both.
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

// verify returns ErrUntrusted if the response has no valid proof. A response with status 401 is accepted without a
// proof: a process with a different credential cannot prove its refusal, and a refusal contains nothing for the caller
// to act on.
func (t transport) verify(resp *http.Response, nonce string) (*http.Response, error) {
	if resp.StatusCode == http.StatusUnauthorized {
		return resp, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read response body")
	}
	if len(body) > maxResponseBytes {
		return nil, fmt.Errorf("the response is larger than %d bytes", maxResponseBytes)
	}
	if !equal(resp.Header.Get(HeaderProof), responseProof(t.credential, nonce, resp.StatusCode, body)) {
		return nil, ErrUntrusted
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}
