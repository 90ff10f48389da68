package main

import (
	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/command"
)

// versionInfo is the JSON form of the version.
type versionInfo struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

func newVersion(o *options) *cobra.Command {
	cmd := command.NewVersionCommand(name)
	text := cmd.RunE
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if o.output == outputJSON {
			return printJSON(cmd, versionInfo{Name: name, Version: command.Version})
		}
		return text(cmd, args)
	}
	return cmd
}
