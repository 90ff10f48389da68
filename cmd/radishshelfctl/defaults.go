package main

import (
	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

func newDefaultsCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "defaults", Short: "Show and change the fleet-wide defaults"}
	cmd.AddCommand(newDefaultsGetCommand(o), newDefaultsSetCommand(o))
	return cmd
}

func newDefaultsGetCommand(o *options) *cobra.Command {
	var scope fleetconfig.Scope
	cmd := &cobra.Command{
		Use: "get", Short: "Show the values in effect, with the exceptions of a scope", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			d, err := client.Effective(cmd.Context(), scope)
			if err != nil {
				return err
			}
			return printJSON(cmd, d)
		},
	}
	cmd.Flags().StringVar(&scope.Workspace, "workspace", "", "apply the exceptions of this workspace")
	cmd.Flags().StringVar(&scope.Policy, "policy", "", "apply the exceptions of this policy")
	cmd.Flags().StringVar(&scope.DataCentre, "data-centre", "", "apply the exceptions of this data centre")
	return cmd
}

func newDefaultsSetCommand(o *options) *cobra.Command {
	var input valueFlags
	var expected int64
	cmd := &cobra.Command{
		Use: "set", Short: "Change the fleet-wide defaults", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return setObject(cmd, o, fleetconfig.KindDefaults, fleetconfig.DefaultsName, &input, expected)
		},
	}
	input.register(cmd)
	registerExpected(cmd, &expected)
	return cmd
}
