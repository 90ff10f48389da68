package httpapi

import (
	"crypto/tls"
	"time"
)

// Options configure the client.
type Options struct {
	// Timeout bounds one call; DefaultTimeout when zero.
	Timeout time.Duration
	// TLS is used when not nil; plain TCP otherwise.
	TLS *tls.Config
	// MaxConnections bounds the connections to the platform; 64 when zero.
	MaxConnections int
}
