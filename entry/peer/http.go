package peer

import (
	"crypto/tls"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/callproof"
	"github.com/radishshelf/radishshelf/httpstatus"
	"github.com/radishshelf/radishshelf/rpc"
)

// Limits of the peer port.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 16 << 10
	// maxBodyBytes fits the largest group that a peer holds: 64 samples of a quarter megabyte.
	maxBodyBytes = 16 << 20
)

// NewHTTPServer returns the HTTP server for the peer port. If credential is not empty, callers must prove that they
// know it, and replies prove it to them. A nil config means plain TCP.
func NewHTTPServer(s *Server, credential string, config *tls.Config) *http.Server {
	handler := http.MaxBytesHandler(callproof.Require(credential, rpc.NewPeerServer(s)), maxBodyBytes)
	return &http.Server{
		Handler: handler, TLSConfig: config, ReadHeaderTimeout: headerTimeout,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// Dialer creates clients for other entries.
type Dialer struct {
	scheme string
	client *http.Client
}

// NewDialer returns a Dialer whose clients prove that they know credential and accept only replies that prove it too. A
// nil config means plain TCP.
func NewDialer(credential string, config *tls.Config, timeout time.Duration) *Dialer {
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	transport := httpstatus.NewTransport(&http.Transport{TLSClientConfig: config, MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout})
	return &Dialer{
		scheme: scheme,
		client: &http.Client{Timeout: timeout, Transport: callproof.Transport(credential, transport)},
	}
}

// Dial returns a client for the entry at the given peer address. It does not open a connection.
func (d *Dialer) Dial(address string) rpc.Peer {
	return rpc.NewPeerProtobufClient(d.scheme+"://"+address, d.client)
}
