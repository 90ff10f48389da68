package entry

import (
	"time"

	"github.com/radishshelf/radishshelf/lease"
	"github.com/radishshelf/radishshelf/settings"
)

// LeaseConfig returns the timing of the leased roles for a candidate.
func (s *Settings) LeaseConfig(candidate string) lease.Config {
	return lease.Config{
		Candidate: candidate, Duration: s.LeaseDuration.D(), RenewInterval: s.RenewInterval.D(),
		ActWindow: s.ActWindow.D(), PauseTolerance: s.PauseTolerance.D(),
	}
}

// TakeoverTime returns the shortest time between the last MayAct check of a holder and the first action of its
// successor.
func (s *Settings) TakeoverTime() time.Duration {
	return s.LeaseDuration.D() - s.ActWindow.D() + s.PauseTolerance.D()
}

func (s *Settings) validateLease(p *settings.Problems) {
	p.Positive("lease_duration", s.LeaseDuration)
	p.Positive("renew_interval", s.RenewInterval)
	p.Positive("act_window", s.ActWindow)
	p.Less("renew_interval", s.RenewInterval, "act_window", s.ActWindow)
	p.Less("act_window", s.ActWindow, "lease_duration", s.LeaseDuration)
	if s.PauseTolerance < 0 {
		p.Add(settings.KindInvalid, "pause_tolerance", "the duration is negative", `write for example "30s"`)
	}
}
