// Command measure simulates the policies and their baselines and prints a table that compares them.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/measure"
)

func main() {
	var seed int64
	var letter string
	cmd := &cobra.Command{
		Use:           "measure",
		Short:         "compare the policies with their baselines in simulations with five seeds",
		Version:       command.Version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			scenarios, err := selectScenarios(letter)
			if err != nil {
				return err
			}
			return measure.WriteTable(c.OutOrStdout(), scenarios, seed)
		},
	}
	cmd.Flags().Int64Var(&seed, "seed", 1, "first of five seeds")
	cmd.Flags().StringVar(&letter, "scenario", "", "letter of the scenarios to run, such as h; empty runs all")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// selectScenarios returns the scenarios whose names begin with the letter in parentheses, or all if letter is empty.
func selectScenarios(letter string) ([]measure.Scenario, error) {
	all := measure.Scenarios()
	if letter == "" {
		return all, nil
	}
	selected := slices.DeleteFunc(all, func(s measure.Scenario) bool {
		return !strings.HasPrefix(s.Name, "("+letter+")")
	})
	if len(selected) == 0 {
		return nil, fmt.Errorf("no scenario %q; use the letter of a scenario in the table, such as h", letter)
	}
	return selected, nil
}
