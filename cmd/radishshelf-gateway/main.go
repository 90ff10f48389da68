// Command radishshelf-gateway is the entry process on the users' platform. It reads the platform's settings file.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/platform"
)

const name = "radishshelf-gateway"

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(command.ExitCode(err))
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: name, Short: "Entry process on the users' platform", SilenceUsage: true, SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(newRunCommand(), newCheckSettingsCommand(), command.NewVersionCommand(name))
	return root
}

func newRunCommand() *cobra.Command {
	var level, metricsPort string
	cmd := &cobra.Command{
		Use: "run", Short: "Serve until SIGTERM, then hand over the jobs and stop", Args: cobra.NoArgs,
		Long: "Serve until SIGTERM, then hand over the jobs and stop. The environment variable " + platform.SettingsVariable +
			" holds the path of the platform's settings file.",
		RunE: func(*cobra.Command, []string) error {
			return run(os.Getenv(platform.SettingsVariable), level, metricsPort)
		},
	}
	cmd.Flags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	cmd.Flags().StringVar(&metricsPort, "metrics-port", "9464", "port that serves metrics")
	return cmd
}

func newCheckSettingsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check-settings FILE", Short: "Check a settings file of the platform; exit code 2 means that it is invalid",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := platform.LoadSettings(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", args[0])
			return err
		},
	}
}
