// Command radishshelfctl is the operators' command line client of the operator interface of an entry.
package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/radishshelf/radishshelf/command"
)

const name = "radishshelfctl"

// exitPending is the exit code of a change that was committed but is not yet in force at every entry.
const exitPending = 3

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// execute runs the program with args and returns the exit code.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	var pending *pendingError
	var invalid *invalidConfigError
	switch {
	case err == nil:
		return command.ExitOK
	case errors.As(err, &pending):
		return exitPending
	case errors.As(err, &invalid):
		printError(root, stderr, err)
		return command.ExitSettings
	default:
		printError(root, stderr, err)
		return command.ExitFailure
	}
}
