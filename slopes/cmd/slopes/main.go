// Command slopes measures the cost of each mechanism by size on this machine; docs/CAPACITY.md uses its figures.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/slopes"
)

func main() {
	var only string
	command := &cobra.Command{
		Use: "slopes", Short: "Measure the cost of each mechanism by size and fit a line", SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error { return slopes.Run(c.OutOrStdout(), only) },
	}
	command.Flags().StringVar(&only, "only", "", "measure this item only, for example configsync")
	if command.Execute() != nil {
		os.Exit(1)
	}
}
