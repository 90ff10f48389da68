// Command quickstart checks the fleet that scripts/quickstart.sh started.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/standin/quickstart"
)

// readyTimeout bounds the start of the fleet.
const readyTimeout = 15 * time.Second

func main() {
	var dir string
	root := &cobra.Command{Use: "quickstart", Short: "Check a running quickstart fleet", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&dir, "dir", "", "directory with the pids, logs and secrets of the script")
	root.AddCommand(
		&cobra.Command{Use: "wait-ready", Short: "Wait until every process is ready", RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), readyTimeout)
			defer cancel()
			return quickstart.WaitReady(ctx)
		}},
		&cobra.Command{Use: "check", Short: "Run every check", RunE: func(cmd *cobra.Command, _ []string) error {
			return quickstart.Check(cmd.Context(), dir, os.Stdout)
		}},
		command.NewVersionCommand("quickstart"),
	)
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(command.ExitFailure)
	}
}
