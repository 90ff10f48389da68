package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/logstory"
)

// newStepsCommand returns the command that prints a time line of each training step from log files.
func newStepsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "steps FILE...", Short: "Print a time line of each training step from the logs of all processes",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var steps logstory.Steps
			for _, path := range args {
				if err := readLog(&steps, path); err != nil {
					return err
				}
			}
			model := ""
			for i, step := range steps.List() {
				if i == 0 || step.Model != model {
					model = step.Model
					if _, err := fmt.Fprintln(cmd.OutOrStdout(), "model "+model); err != nil {
						return err
					}
				}
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), step); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
