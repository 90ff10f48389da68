package main

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/operatorclient"
)

// objectGroup describes the commands for one kind of object.
type objectGroup struct {
	plural   string
	singular string
	kind     fleetconfig.Kind
}

func newObjectsCommand(o *options, group objectGroup) *cobra.Command {
	cmd := &cobra.Command{Use: group.plural, Short: "List, show, set and delete " + group.plural}
	cmd.AddCommand(newListCommand(o, group), newGetCommand(o, group), newSetCommand(o, group), newDeleteCommand(o, group))
	return cmd
}

func newListCommand(o *options, group objectGroup) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the " + group.plural, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			objects, err := client.List(cmd.Context(), group.kind)
			if err != nil {
				return err
			}
			return o.print(cmd, objects, func() *table { return objectTable(objects) })
		},
	}
}

func objectTable(objects []operatorclient.Object) *table {
	t := &table{header: []string{"NAME", "REVISION", "VALUE"}}
	for _, object := range objects {
		t.add(object.Name, strconv.FormatInt(object.Revision, 10), string(object.Value))
	}
	return t
}

func newGetCommand(o *options, group objectGroup) *cobra.Command {
	return &cobra.Command{
		Use: "get NAME", Short: "Show one " + group.singular, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			object, err := client.Get(cmd.Context(), group.kind, args[0])
			if err != nil {
				return err
			}
			return o.print(cmd, object, func() *table { return objectTable([]operatorclient.Object{object}) })
		},
	}
}

func newSetCommand(o *options, group objectGroup) *cobra.Command {
	var input valueFlags
	var expected int64
	cmd := &cobra.Command{
		Use: "set NAME", Short: "Create or change a " + group.singular,
		Long: "Create or change a " + group.singular + ". --field changes single fields; --file and --value replace the object.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return setObject(cmd, o, group.kind, args[0], &input, expected)
		},
	}
	input.register(cmd)
	registerExpected(cmd, &expected)
	return cmd
}

func setObject(
	cmd *cobra.Command, o *options, kind fleetconfig.Kind, name string, input *valueFlags, expected int64,
) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	current, err := currentObject(cmd, client, kind, name)
	if err != nil {
		return err
	}
	value, err := input.value(current.Value)
	if err != nil {
		return err
	}
	result, err := client.Put(cmd.Context(), kind, name, value, expectedRevision(expected, current))
	if err != nil {
		return err
	}
	return o.printChange(cmd, result)
}

func newDeleteCommand(o *options, group objectGroup) *cobra.Command {
	var expected int64
	cmd := &cobra.Command{
		Use: "delete NAME", Short: "Delete a " + group.singular, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			current, err := currentObject(cmd, client, group.kind, args[0])
			if err != nil {
				return err
			}
			if current.Revision == 0 && expected == currentRevision {
				return fmt.Errorf("%s %q does not exist, nothing was deleted; check the name with %q", group.singular, args[0],
					name+" "+group.plural+" list")
			}
			result, err := client.Delete(cmd.Context(), group.kind, args[0], expectedRevision(expected, current))
			if err != nil {
				return err
			}
			return o.printChange(cmd, result)
		},
	}
	registerExpected(cmd, &expected)
	return cmd
}

// currentRevision is the default of --expected: the revision that the command reads just before the change.
const currentRevision = -1

func registerExpected(cmd *cobra.Command, expected *int64) {
	cmd.Flags().Int64Var(expected, "expected", currentRevision,
		"revision that the object must have, 0 if it must not exist; by default the revision read just before")
}

func expectedRevision(flag int64, current operatorclient.Object) int64 {
	if flag == currentRevision {
		return current.Revision
	}
	return flag
}

// currentObject returns the object, or an empty one when it does not exist.
func currentObject(
	cmd *cobra.Command, client *operatorclient.Client, kind fleetconfig.Kind, name string,
) (operatorclient.Object, error) {
	object, err := client.Get(cmd.Context(), kind, name)
	var apiErr *operatorclient.Error
	if errors.As(err, &apiErr) && apiErr.Kind == operatorclient.KindNotFound {
		return operatorclient.Object{}, nil
	}
	return object, err
}
