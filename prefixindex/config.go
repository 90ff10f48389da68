package prefixindex

import "time"

// Config sets the expiry times and size limits of an Index.
type Config struct {
	// TTL is how long a holder remains valid after it was last confirmed.
	TTL time.Duration
	// GapTTL is how long holders confirmed before a gap in the cache events remain valid after the gap, because removals
	// may have been lost.
	GapTTL time.Duration
	// MaxBlocks limits the number of blocks and thus the memory. The least recently used blocks are evicted first.
	MaxBlocks int
	// MaxHolders limits the number of holders per block.
	MaxHolders int
	// MaxUpstreams limits the number of upstreams.
	MaxUpstreams int
}

// DefaultConfig returns a configuration for an entry that serves a few hundred upstreams. 100,000 blocks take 17 MB of
// heap with one holder each and 44 MB with eight.
func DefaultConfig() Config {
	return Config{
		TTL:          5 * time.Minute,
		GapTTL:       20 * time.Second,
		MaxBlocks:    100_000,
		MaxHolders:   8,
		MaxUpstreams: 4096,
	}
}
