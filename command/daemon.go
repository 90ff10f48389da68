package command

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/logging"
	"github.com/radishshelf/radishshelf/settings"
)

// DaemonSettings is implemented by the settings of a daemon.
type DaemonSettings interface {
	settings.Validator
	// Level returns the log level in the settings file; empty means info.
	Level() string
}

// Daemon describes a daemon whose settings are of type S.
type Daemon[S any] struct {
	Name  string
	Short string
	// Defaults returns the settings used for fields that the settings file omits; nil means zero values.
	Defaults func() S
	// Run serves until ctx is done and then shuts down gracefully.
	Run func(ctx context.Context, s S, log zerolog.Logger) error
}

// NewDaemon returns the Program of a daemon. It loads and validates the settings and creates the logger before it calls
// d.Run.
func NewDaemon[S any, P interface {
	*S
	DaemonSettings
}](d Daemon[S]) Program {
	load := func(path string) (S, error) {
		var s S
		if d.Defaults != nil {
			s = d.Defaults()
		}
		return s, settings.LoadFile(path, P(&s))
	}
	return Program{
		Name: d.Name, Short: d.Short,
		Check: func(path string) error {
			_, err := load(path)
			return err
		},
		Run: func(ctx context.Context, path, logLevel string) error {
			s, err := load(path)
			if err != nil {
				return err
			}
			if logLevel == "" {
				logLevel = P(&s).Level()
			}
			log, err := logging.New(os.Stderr, d.Name, logLevel)
			if err != nil {
				return err
			}
			return d.Run(ctx, s, log)
		},
	}
}
