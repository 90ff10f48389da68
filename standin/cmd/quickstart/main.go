// Command quickstart checks the fleet started by scripts/quickstart.sh.
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

// readyTimeout bounds the time until every process is ready.
const readyTimeout = 15 * time.Second

func main() {
	var dir string
	root := &cobra.Command{Use: "quickstart", Short: "Check a running quickstart fleet", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&dir, "dir", "", "directory with the pid files, logs and secrets written by the script")
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
