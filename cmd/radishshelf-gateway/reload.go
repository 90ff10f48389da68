package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/radishshelf/radishshelf/platform"
)

// settingsInterval is how often the settings file is looked at; it may change without a signal.
const settingsInterval = 2 * time.Second

// followSettings reads the settings again on SIGHUP and when the file changed, until ctx ends.
func (p *process) followSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	seen := modified(p.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			seen = modified(p.path)
			p.reload("SIGHUP")
		case <-ticker.C:
			if at := modified(p.path); !at.Equal(seen) {
				seen = at
				p.reload("the file changed")
			}
		}
	}
}

// modified returns when a file was written last, the zero time when that is not known.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes the settings that may change while the process runs. A bad file changes nothing.
func (p *process) reload(cause string) {
	next, err := platform.LoadSettings(p.path)
	if err != nil {
		p.log.Error().Str("cause", cause).Err(err).Msg("settings not reloaded, the old ones stay in force")
		return
	}
	for _, store := range p.stores {
		store.SetAddress(next.StoreAddress)
	}
	p.duties.SetAddress(next.DutyAddress)
	p.gateway.SetTiming(timing(next.Bounds))
	p.log.Info().Str("cause", cause).Str("store", next.StoreAddress).Msg("settings reloaded")
}
