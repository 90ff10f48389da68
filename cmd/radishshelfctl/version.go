package main

import (
	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/command"
)

// versionInfo is the JSON output of the version command.
type versionInfo struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

func newVersionCommand(o *options) *cobra.Command {
	cmd := command.NewVersionCommand(name)
	printText := cmd.RunE
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if o.output == outputJSON {
			return printJSON(cmd, versionInfo{Name: name, Version: command.Version})
		}
		return printText(cmd, args)
	}
	return cmd
}
