package trainer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/logging"
	"github.com/radishshelf/radishshelf/settings"
)

// Limits of the admin port.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	maxHeaderBytes = 16 << 10
)

// Program is the command line of standin-trainer.
func Program() command.Program {
	return command.Program{
		Name: "standin-trainer", Short: "Stand-in trainer for tests and the quick start",
		Check: func(path string) error {
			s := Defaults()
			return settings.LoadFile(path, &s)
		},
		Run: run,
	}
}

func run(ctx context.Context, path, logLevel string) error {
	s := Defaults()
	if err := settings.LoadFile(path, &s); err != nil {
		return err
	}
	if logLevel == "" {
		logLevel = s.LogLevel
	}
	log, err := logging.New(os.Stderr, "standin-trainer", logLevel)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.AdminAddress)
	if err != nil {
		return err
	}
	t := New(s, &http.Client{}, log)
	server := &http.Server{
		Handler: t.Admin(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	trained := make(chan struct{})
	go func() {
		defer close(trained)
		t.Run(ctx)
	}()
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown(context.Background()) })
	defer stop()
	log.Info().Str("address", listener.Addr().String()).Str("trainer", s.Trainer).Msg("started")
	err = server.Serve(listener)
	cancel()
	<-trained
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
