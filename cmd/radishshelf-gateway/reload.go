package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/radishshelf/radishshelf/platform"
)

// settingsPollInterval is how often the settings file is checked; it may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when the file has changed, until ctx ends.
func (p *process) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(p.settingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			lastModTime = modTime(p.settingsPath)
			p.reload("SIGHUP")
		case <-ticker.C:
			if current := modTime(p.settingsPath); !current.Equal(lastModTime) {
				lastModTime = current
				p.reload("the file changed")
			}
		}
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings that may change while the process runs. An invalid file changes nothing.
func (p *process) reload(cause string) {
	settings, err := platform.LoadSettings(p.settingsPath)
	if err != nil {
		p.log.Error().Str("cause", cause).Err(err).Msg("cannot reload the settings; keeping the current ones")
		return
	}
	for _, store := range p.stores {
		store.SetAddress(settings.StoreAddress)
	}
	p.duties.SetAddress(settings.DutyAddress)
	p.gateway.SetTiming(newTiming(settings.Bounds))
	p.log.Info().Str("cause", cause).Str("store", settings.StoreAddress).Msg("settings reloaded")
}
