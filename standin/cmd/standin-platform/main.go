// Command standin-platform serves the stand-in for the hosting platform.
package main

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/logging"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/standin/platform"
)

const name = "standin-platform"

func main() {
	os.Exit(command.Main(command.Program{
		Name:  name,
		Short: "Stand-in for the hosting platform: table, objects, orders, usage sink, host list, weights, traces",
		Check: func(path string) error { return settings.LoadFile(path, &platform.Settings{}) },
		Run:   run,
	}))
}

func run(ctx context.Context, path, logLevel string) error {
	var s platform.Settings
	if err := settings.LoadFile(path, &s); err != nil {
		return err
	}
	if logLevel != "" {
		s.LogLevel = logLevel
	}
	log, err := logging.New(os.Stderr, name, s.LogLevel)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("address of the platform stand-in: %w", err)
	}
	return platform.NewServer(s, log).Serve(ctx, listener)
}
