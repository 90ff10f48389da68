package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/operatorclient"
)

func newKeysCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "keys", Short: "Grant, withdraw and list keys"}
	cmd.AddCommand(newKeyGrantCommand(o), newKeyWithdrawCommand(o), newKeyListCommand(o))
	return cmd
}

func newKeyGrantCommand(o *options) *cobra.Command {
	var request operatorclient.KeyRequest
	cmd := &cobra.Command{
		Use: "grant", Short: "Grant a key; the secret is printed once and cannot be read again", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			grant, err := client.GrantKey(cmd.Context(), request)
			if err != nil {
				return err
			}
			return printGrant(cmd, o, grant)
		},
	}
	cmd.Flags().StringVar(&request.Workspace, "workspace", "", "workspace that the key belongs to")
	cmd.Flags().StringVar(&request.Trainer, "trainer", "", "trainer that the key belongs to")
	cmd.MarkFlagsOneRequired("workspace", "trainer")
	cmd.MarkFlagsMutuallyExclusive("workspace", "trainer")
	return cmd
}

func printGrant(cmd *cobra.Command, o *options, grant operatorclient.KeyGrant) error {
	if o.output == outputJSON {
		if err := printJSON(cmd, grant); err != nil {
			return err
		}
		return checkInForce(grant.ChangeResult)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "id: %s\nsecret: %s\n", grant.ID, grant.Secret)
	return o.printChange(cmd, grant.ChangeResult)
}

func newKeyWithdrawCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "withdraw ID", Short: "Withdraw a key; open streams under it end", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			result, err := client.WithdrawKey(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return o.printChange(cmd, result)
		},
	}
}

func newKeyListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the keys without their secrets", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			keys, err := client.Keys(cmd.Context())
			if err != nil {
				return err
			}
			return o.print(cmd, keys, func() *table { return keyTable(keys) })
		},
	}
}

func keyTable(keys []operatorclient.KeyInfo) *table {
	t := &table{header: []string{"ID", "WORKSPACE", "TRAINER", "STATE", "GRANTED", "LAST USE"}}
	for _, k := range keys {
		state := "granted"
		if k.Withdrawn {
			state = "withdrawn"
		}
		t.add(k.ID, orDash(k.Workspace), orDash(k.Trainer), state, orDash(k.GrantedAt), orDash(k.LastUse))
	}
	return t
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
