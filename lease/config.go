package lease

import (
	"fmt"
	"time"
)

// Default timing of a role.
const (
	DefaultDuration       = 9 * time.Second
	DefaultRenewInterval  = 3 * time.Second
	DefaultActWindow      = 4500 * time.Millisecond
	DefaultPauseTolerance = 30 * time.Second
)

// Config is the timing of one role for one candidate. All candidates of a role must use the same durations.
type Config struct {
	// Candidate is the name of this process.
	Candidate string
	// Duration is how long a lease is valid after the last change of its row.
	Duration time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// ActWindow is how long a holder may act after it sent a renewal that was confirmed.
	ActWindow time.Duration
	// PauseTolerance is the longest freeze of a holder that must not lead to two acting holders when the receiver does
	// not check the term.
	PauseTolerance time.Duration
	// IsPredecessor reports whether a holder is an earlier incarnation of this process, which has certainly ended. Its
	// role is taken over after PredecessorWait, within which its last calls have arrived. If IsPredecessor is nil, no
	// holder is a predecessor.
	IsPredecessor   func(holder string) bool
	PredecessorWait time.Duration
	// ReturnWait is the least time between the tenures of one holder, predecessors included, if another holder has
	// followed the first of them. Receivers that do not check the term need it; it is 0 if all of them do.
	ReturnWait time.Duration
}

// DefaultConfig returns the default timing for a candidate.
func DefaultConfig(candidate string) Config {
	return Config{
		Candidate: candidate, Duration: DefaultDuration, RenewInterval: DefaultRenewInterval,
		ActWindow: DefaultActWindow, PauseTolerance: DefaultPauseTolerance,
	}
}

// Validate returns an error that names the invalid field and the remedy.
func (c Config) Validate() error {
	switch {
	case c.Candidate == "":
		return fmt.Errorf("lease: the candidate has no name; set Candidate")
	case c.RenewInterval <= 0:
		return fmt.Errorf("lease: renew interval %s is not positive; set RenewInterval", c.RenewInterval)
	case c.ActWindow <= c.RenewInterval:
		return fmt.Errorf("lease: act window %s is not above the renew interval %s; raise ActWindow", c.ActWindow, c.RenewInterval)
	case c.Duration <= c.ActWindow:
		return fmt.Errorf("lease: duration %s is not above the act window %s; raise Duration", c.Duration, c.ActWindow)
	case c.PredecessorWait < 0:
		return fmt.Errorf("lease: wait after a predecessor %s is negative; set PredecessorWait", c.PredecessorWait)
	case c.ReturnWait < 0:
		return fmt.Errorf("lease: wait before a holder returns %s is negative; set ReturnWait", c.ReturnWait)
	case c.PauseTolerance < 0:
		return fmt.Errorf("lease: pause tolerance %s is negative; set PauseTolerance", c.PauseTolerance)
	}
	return nil
}
