package trainer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/command"
)

// Limits of the admin server.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	maxHeaderBytes = 16 << 10
)

// Program returns the command line program standin-trainer.
func Program() command.Program {
	return command.NewDaemon(command.Daemon[Settings]{
		Name: "standin-trainer", Short: "Stand-in trainer for tests and the quick start", Defaults: Defaults, Run: run,
	})
}

// run serves the admin port and runs the trainer until ctx is done.
func run(ctx context.Context, s Settings, log zerolog.Logger) error {
	listener, err := net.Listen("tcp", s.AdminAddress)
	if err != nil {
		return err
	}
	t := New(s, &http.Client{}, log)
	server := &http.Server{
		Handler: t.AdminHandler(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	trainerDone := make(chan struct{})
	go func() {
		defer close(trainerDone)
		t.Run(ctx)
	}()
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown(context.Background()) })
	defer stop()
	log.Info().Str("address", listener.Addr().String()).Str("trainer", s.Trainer).Msg("started")
	err = server.Serve(listener)
	cancel()
	<-trainerDone
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
