package textmove

import "time"

// MinSpeedup is how many times slower than the alternative an engine must be to count as slow. The pace of an engine
// with all slots in use is a fifth above that of an idle one, which is no reason to leave it.
const MinSpeedup = 1.25

// SlowPeriods holds since when each engine has been slow without interruption. The zero value is ready to use. It is not
// safe for concurrent use.
type SlowPeriods struct {
	since map[string]time.Time
}

// Observe records the latest pace of an engine and the pace that a text would have elsewhere, both in time per event.
// An unknown pace, 0, ends a slow period.
func (s *SlowPeriods) Observe(engine string, pace, elsewhere time.Duration, now time.Time) {
	if pace == 0 || elsewhere == 0 || float64(pace) < MinSpeedup*float64(elsewhere) {
		delete(s.since, engine)
		return
	}
	if s.since == nil {
		s.since = map[string]time.Time{}
	}
	if _, slow := s.since[engine]; !slow {
		s.since[engine] = now
	}
}

// Duration returns how long an engine has been slow; 0 and false if it is not.
func (s *SlowPeriods) Duration(engine string, now time.Time) (time.Duration, bool) {
	since, slow := s.since[engine]
	if !slow {
		return 0, false
	}
	return now.Sub(since), true
}

// Len returns the number of engines that are slow.
func (s *SlowPeriods) Len() int { return len(s.since) }

// Retain ends the slow periods of engines that are not observed any more.
func (s *SlowPeriods) Retain(observed func(engine string) bool) {
	for engine := range s.since {
		if !observed(engine) {
			delete(s.since, engine)
		}
	}
}
