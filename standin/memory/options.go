package memory

import (
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Options configure a Platform.
type Options struct {
	// CheckTerms makes the order service refuse orders whose term is below the highest one that it has seen.
	CheckTerms bool
	// HostLag is the time before an update of the host list becomes visible.
	HostLag time.Duration
	// Hosts is the initial host list, which is visible at once.
	Hosts []hosting.Host
	// WeightBytesPerSecond limits the combined rate of all readers of the weight store; 0 means unlimited.
	WeightBytesPerSecond int64
	// Now is the clock of the host list; time.Now when nil.
	Now func() time.Time
}
