package main

import (
	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

func newExceptionsCommand(o *options) *cobra.Command {
	group := objectGroup{"exceptions", "exception", fleetconfig.KindException}
	cmd := &cobra.Command{Use: group.plural, Short: "List, show, set and delete exceptions from the defaults"}
	cmd.AddCommand(newListCommand(o, group), newGetCommand(o, group), newExceptionSetCommand(o), newDeleteCommand(o, group))
	return cmd
}

func newExceptionSetCommand(o *options) *cobra.Command {
	var e fleetconfig.Exception
	var value string
	var expected int64
	cmd := &cobra.Command{
		Use: "set NAME", Short: "Create or change an exception", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			if e.Value, err = encodeField(value); err != nil {
				return err
			}
			current, err := currentObject(cmd, client, fleetconfig.KindException, args[0])
			if err != nil {
				return err
			}
			result, err := client.Put(cmd.Context(), fleetconfig.KindException, args[0], e, expectedRevision(expected, current))
			if err != nil {
				return err
			}
			return o.printChange(cmd, result)
		},
	}
	cmd.Flags().StringVar(&e.Scope, "scope", "", "workspace/NAME, policy/NAME or data-centre/NAME")
	cmd.Flags().StringVar(&e.Field, "field", "", "field of the defaults, for example max_tokens")
	cmd.Flags().StringVar(&value, "value", "", "value of the field")
	cmd.Flags().StringVar(&e.Reason, "reason", "", "reason for the exception")
	registerExpected(cmd, &expected)
	for _, flag := range []string{"scope", "field", "value", "reason"} {
		if err := cmd.MarkFlagRequired(flag); err != nil {
			panic(err)
		}
	}
	return cmd
}
