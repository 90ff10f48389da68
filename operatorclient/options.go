package operatorclient

import (
	"crypto/tls"
	"time"
)

// DefaultTimeout exceeds the time that a change may take to be in force everywhere.
const DefaultTimeout = 30 * time.Second

// Options configure a Client.
type Options struct {
	// Token is the operator credential; none is sent when empty.
	Token string
	// Timeout bounds one call; DefaultTimeout when zero.
	Timeout time.Duration
	// TLS is used when not nil; plain TCP otherwise.
	TLS *tls.Config
}
