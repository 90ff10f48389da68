package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/logstory"
)

// newStoryCommand returns the command that prints the log lines of one request, batch job or item from log files.
func newStoryCommand() *cobra.Command {
	return &cobra.Command{
		Use: "story ID FILE...", Short: "Print the events of a request, batch job or item from the logs of all processes",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			story := logstory.New(args[0])
			for _, path := range args[1:] {
				if err := readLog(story, path); err != nil {
					return err
				}
			}
			lines := story.Lines()
			if len(lines) == 0 {
				return fmt.Errorf("no log line mentions %s; check the ID, and pass the logs of all processes", args[0])
			}
			for _, line := range lines {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), line); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// logReader reads the lines of a log file.
type logReader interface {
	Read(name string, r io.Reader) error
}

func readLog(into logReader, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return into.Read(path, f)
}
