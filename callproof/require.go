package callproof

import (
	"bytes"
	"io"
	"net/http"

	"github.com/twitchtv/twirp"
)

// Require refuses requests that do not prove credential, and proves each reply of next. It holds request and reply in
// memory, so next must not stream and the caller must bound the request. An empty credential turns both off.
func Require(credential string, next http.Handler) http.Handler {
	if credential == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			refuse(w, twirp.Malformed.Error("the request body could not be read or is too large"))
			return
		}
		nonce := r.Header.Get(HeaderNonce)
		want := requestProof(credential, nonce, r.Method, r.URL.EscapedPath(), body)
		if nonce == "" || len(nonce) > maxNonceBytes || !equal(r.Header.Get(HeaderProof), want) {
			refuse(w, twirp.Unauthenticated.Error(
				"the proof of the shared credential of the fleet is missing or wrong; set the same credential_file on both sides"))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		reply := &heldReply{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(reply, r)
		w.Header().Set(HeaderProof, replyProof(credential, nonce, reply.status, reply.body.Bytes()))
		w.WriteHeader(reply.status)
		// The caller finds out by itself when it cannot read the reply.
		_, _ = w.Write(reply.body.Bytes())
	})
}

func refuse(w http.ResponseWriter, err twirp.Error) {
	// The caller finds out by itself when it cannot read the refusal.
	_ = twirp.WriteError(w, err)
}

// heldReply keeps a reply until its proof can be computed.
type heldReply struct {
	header  http.Header
	status  int
	started bool
	body    bytes.Buffer
}

// Header implements http.ResponseWriter.
func (h *heldReply) Header() http.Header { return h.header }

// WriteHeader implements http.ResponseWriter; the first status counts.
func (h *heldReply) WriteHeader(status int) {
	if !h.started {
		h.started, h.status = true, status
	}
}

// Write implements http.ResponseWriter.
func (h *heldReply) Write(data []byte) (int, error) {
	h.started = true
	return h.body.Write(data)
}
