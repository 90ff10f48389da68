package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/operatorclient"
)

// entryVariable is the environment variable that holds the default of --entry.
const entryVariable = "RADISHSHELF_ENTRY"

func newRootCommand() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use: name, Short: "Configure and inspect a radishshelf fleet through one of its entries",
		Long: "Configure and inspect a radishshelf fleet through one of its entries.\n\n" +
			"Exit codes: 0 success, 1 failure, 2 a checked configuration has errors, 3 committed but not yet in force at every entry.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	flags := root.PersistentFlags()
	flags.StringVar(&o.entry, "entry", os.Getenv(entryVariable), "operator address of an entry, host:port; default $"+entryVariable)
	flags.StringVar(&o.output, "output", outputText, "json or text")
	flags.StringVar(&o.tokenFile, "token-file", "", "file with the operator credential")
	flags.StringVar(&o.caFile, "ca-file", "", "file with the CA certificate of the operator port; plain TCP when empty")
	flags.DurationVar(&o.timeout, "timeout", operatorclient.DefaultTimeout, "time limit of one call, with a unit")
	for _, group := range []objectGroup{
		{"policies", "policy", fleetconfig.KindPolicy},
		{"workspaces", "workspace", fleetconfig.KindWorkspace},
		{"routes", "route", fleetconfig.KindRoute},
		{"upstreams", "upstream", fleetconfig.KindUpstream},
		{"trainers", "trainer", fleetconfig.KindTrainer},
	} {
		root.AddCommand(newObjectsCommand(o, group))
	}
	root.AddCommand(newDefaultsCommand(o), newExceptionsCommand(o), newKeysCommand(o), newEntriesCommand(o),
		newHostsCommand(o), newRolesCommand(o), newUsageWindowsCommand(o), newVersionsCommand(o), newExplainCommand(o),
		newVersionCommand(o), newStoryCommand(), newStepsCommand(), newStoreCommand(o), newCheckConfigCommand(o))
	return root
}
