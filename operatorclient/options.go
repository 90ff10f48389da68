package operatorclient

import (
	"crypto/tls"
	"time"
)

// DefaultTimeout exceeds the time that a change may take to be in force at every entry.
const DefaultTimeout = 30 * time.Second

// Options configure a Client.
type Options struct {
	// Token is the operator credential; none is sent when empty.
	Token string
	// Timeout bounds one call; DefaultTimeout when zero.
	Timeout time.Duration
	// TLS configures the connection; plain TCP is used when nil.
	TLS *tls.Config
}
