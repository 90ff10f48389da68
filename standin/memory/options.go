package memory

import (
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Options configure a Platform.
type Options struct {
	// CheckTerms makes the order service refuse a term below the highest one seen.
	CheckTerms bool
	// HostLag is how long an edit of the host list stays invisible.
	HostLag time.Duration
	// Hosts is the list that is visible from the start.
	Hosts []hosting.Host
	// WeightBytesPerSecond limits the weight store over all readers; 0 means unlimited.
	WeightBytesPerSecond int64
	// Now is the clock of the host list; time.Now when nil.
	Now func() time.Time
}
