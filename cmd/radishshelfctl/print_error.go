package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/operatorclient"
)

// printError writes why a command failed. With --output json, a refusal of the entry is printed as the object that the
// entry sent, so that a program finds the current value of a conflict.
func printError(root *cobra.Command, w io.Writer, err error) {
	var apiErr *operatorclient.Error
	if output := root.PersistentFlags().Lookup("output"); output.Value.String() == outputJSON && errors.As(err, &apiErr) {
		if json.NewEncoder(w).Encode(apiErr) == nil {
			return
		}
	}
	fmt.Fprintf(w, "%s: %v\n", name, err)
}
