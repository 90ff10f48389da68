package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/operatorclient"
)

// table is the text output of a list.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

// print writes value as JSON, or the table that text returns.
func (o *options) print(cmd *cobra.Command, value any, text func() *table) error {
	if o.output == outputJSON {
		return printJSON(cmd, value)
	}
	return text().write(cmd.OutOrStdout())
}

// printChange writes the result of a change. It returns a *pendingError if the change is not yet in force.
func (o *options) printChange(cmd *cobra.Command, result operatorclient.ChangeResult) error {
	if o.output == outputJSON {
		if err := printJSON(cmd, result); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(cmd.OutOrStdout(), "%s %s: %s (revision %d)\n", result.Kind, result.Name, result.Message, result.Revision)
		if len(result.Isolated) > 0 {
			fmt.Fprintf(cmd.OutOrStdout(), "isolated, refusing requests that need a key: %s\n", strings.Join(result.Isolated, ", "))
		}
	}
	return checkInForce(result)
}

func checkInForce(result operatorclient.ChangeResult) error {
	if result.Accepted {
		return nil
	}
	return &pendingError{message: result.Message}
}

func printJSON(cmd *cobra.Command, value any) error {
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}
