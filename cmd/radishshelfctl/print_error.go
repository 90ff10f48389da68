package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/operatorclient"
)

// printError writes why a command failed. With --output json, an error response of the entry is printed as JSON, so
// that a program can read the current value after a conflict.
func printError(root *cobra.Command, w io.Writer, err error) {
	var apiErr *operatorclient.Error
	if output := root.PersistentFlags().Lookup("output"); output.Value.String() == outputJSON && errors.As(err, &apiErr) {
		if json.NewEncoder(w).Encode(apiErr) == nil {
			return
		}
	}
	fmt.Fprintf(w, "%s: %v\n", name, err)
}
