// Command measure prints the comparison of the policies with their baselines in virtual time.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/measure"
)

func main() {
	var seed int64
	cmd := &cobra.Command{
		Use:           "measure",
		Short:         "print policies beside their baselines, measured in virtual time with five seeds",
		Version:       command.Version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return measure.WriteTable(c.OutOrStdout(), measure.Scenarios(), seed)
		},
	}
	cmd.Flags().Int64Var(&seed, "seed", 1, "first of five seeds")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
