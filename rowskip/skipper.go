// Package rowskip logs and counts the table rows that a reader skips because it cannot decode them.
package rowskip

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// maxLoggedRows bounds the memory of a Skipper to about 1 MB.
const maxLoggedRows = 10_000

// Skipper logs and counts each skipped row once, although readers meet the row again on every pass. It is safe for
// concurrent use.
type Skipper struct {
	log     zerolog.Logger
	counter *metrics.Counter

	mu     sync.Mutex
	logged map[string]bool
}

// New returns a Skipper that adds the skipped rows to counter.
func New(log zerolog.Logger, counter *metrics.Counter) *Skipper {
	return &Skipper{log: log, counter: counter, logged: map[string]bool{}}
}

// Skip logs and counts the row with the given key, unless it has been logged before. After maxLoggedRows rows it logs
// one line to say so and ignores all further rows.
func (s *Skipper) Skip(key string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logged[key] || len(s.logged) > maxLoggedRows {
		return
	}
	s.logged[key] = true
	if len(s.logged) > maxLoggedRows {
		s.log.Error().Int("rows", maxLoggedRows).Msg("too many rows skipped; further ones are not logged or counted")
		return
	}
	s.counter.Inc()
	s.log.Warn().Str("key", key).Err(err).Msg("row skipped")
}

// Forget lets the rows that have been logged be logged again. Call it once the readers meet none of them anymore.
func (s *Skipper) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.logged)
}
