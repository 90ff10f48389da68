package serving

import "time"

// Limits bound what a caller may send and how long it may take. Zero fields set no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
