package configsync

import "time"

func (s *Syncer) registerMetrics() {
	if s.opts.Registry == nil {
		return
	}
	s.opts.Registry.NewGauge("radishshelf_config_revision", func() float64 { return float64(s.View().Revision()) })
	s.opts.Registry.NewGauge("radishshelf_config_confirmation_age_seconds", func() float64 {
		return s.Decision(time.Now()).ConfirmationAge.Seconds()
	})
	s.opts.Registry.NewGauge("radishshelf_config_serves_keyed", func() float64 {
		if s.MayServeKeyed(time.Now()) {
			return 1
		}
		return 0
	})
	s.opts.Registry.NewGauge("radishshelf_config_known_entries", func() float64 {
		return float64(s.Decision(time.Now()).KnownEntries)
	})
}
