package peer

import (
	"crypto/tls"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/callproof"
	"github.com/radishshelf/radishshelf/rpc"
)

// Limits of the peer port.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 16 << 10
	// maxBodyBytes is above the largest group that a peer holds: 64 samples of a quarter megabyte.
	maxBodyBytes = 16 << 20
)

// NewHTTPServer returns the server of the peer port. When credential is not empty, callers and replies must prove it; a
// nil config means plain TCP.
func NewHTTPServer(s *Server, credential string, config *tls.Config) *http.Server {
	handler := http.MaxBytesHandler(callproof.Require(credential, rpc.NewPeerServer(s)), maxBodyBytes)
	return &http.Server{
		Handler: handler, TLSConfig: config, ReadHeaderTimeout: headerTimeout,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// Dialer makes clients of other entries.
type Dialer struct {
	scheme string
	client *http.Client
}

// NewDialer returns a Dialer that proves the credential and takes only replies that prove it.
func NewDialer(credential string, config *tls.Config, timeout time.Duration) *Dialer {
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	transport := &http.Transport{TLSClientConfig: config, MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout}
	return &Dialer{
		scheme: scheme,
		client: &http.Client{Timeout: timeout, Transport: callproof.Transport(credential, transport)},
	}
}

// Dial returns the client of the entry at a peer address.
func (d *Dialer) Dial(address string) rpc.Peer {
	return rpc.NewPeerProtobufClient(d.scheme+"://"+address, d.client)
}
