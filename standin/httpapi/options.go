package httpapi

import (
	"crypto/tls"
	"time"
)

// Options configure the client.
type Options struct {
	// Timeout bounds one call; DefaultTimeout when zero.
	Timeout time.Duration
	// TLS configures TLS; connections are unencrypted when it is nil.
	TLS *tls.Config
	// MaxConnections limits the number of connections to the platform; 64 when zero.
	MaxConnections int
}
