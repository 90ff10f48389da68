// Package command implements the command line shared by all daemons: run, check-settings and version.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/settings"
)

// Version is the version of the programs; release builds set it with the linker.
var Version = "0.1.0-dev"

// Exit codes of all programs. ExitSettings means that the settings, or a checked configuration, are invalid.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// Program describes a daemon for its command line.
type Program struct {
	Name  string
	Short string
	// Check loads and validates the settings file at path.
	Check func(path string) error
	// Run serves until ctx is done and then shuts down gracefully. path is the settings file. A logLevel that is not
	// empty overrides the one in the settings.
	Run func(ctx context.Context, path, logLevel string) error
}

// Main runs the program with the arguments of the process until SIGINT or SIGTERM and returns the exit code.
func Main(p Program) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return Execute(ctx, p, os.Args[1:], os.Stdout, os.Stderr)
}

// Execute runs the program with args and returns the exit code.
func Execute(ctx context.Context, p Program, args []string, stdout, stderr io.Writer) int {
	root := newRootCommand(p)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return ExitCode(err)
	}
	return ExitOK
}

// ExitCode returns ExitSettings if err is or wraps a *settings.Error, and ExitFailure otherwise.
func ExitCode(err error) int {
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) {
		return ExitSettings
	}
	return ExitFailure
}

func newRootCommand(p Program) *cobra.Command {
	root := &cobra.Command{Use: p.Name, Short: p.Short, SilenceUsage: true, SilenceErrors: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(newRunCommand(p), newCheckSettingsCommand(p), NewVersionCommand(p.Name))
	return root
}

func newRunCommand(p Program) *cobra.Command {
	var path, logLevel string
	cmd := &cobra.Command{
		Use: "run", Short: "Serve until SIGTERM, then shut down gracefully", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return p.Run(cmd.Context(), path, logLevel) },
	}
	cmd.Flags().StringVar(&path, "settings", "", "JSON settings file")
	cmd.Flags().StringVar(&logLevel, "log-level", "", "debug, info, warn or error; overrides the settings file")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	return cmd
}

func newCheckSettingsCommand(p Program) *cobra.Command {
	return &cobra.Command{
		Use: "check-settings FILE", Short: "Check a settings file; exit code 2 if it is invalid", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := p.Check(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", args[0])
			return err
		},
	}
}

// NewVersionCommand returns the version command.
func NewVersionCommand(name string) *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s %s\n", name, Version)
			return err
		},
	}
}
