// Command standin-platform serves the stand-in for the hosting platform.
package main

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/standin/platform"
)

func main() {
	os.Exit(command.Main(command.NewDaemon(command.Daemon[platform.Settings]{
		Name:  "standin-platform",
		Short: "Stand-in for the hosting platform: table, objects, orders, usage sink, host list, weights, traces",
		Run:   run,
	})))
}

func run(ctx context.Context, s platform.Settings, log zerolog.Logger) error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen on the address of the platform stand-in: %w", err)
	}
	return platform.NewServer(s, log).Serve(ctx, listener)
}
