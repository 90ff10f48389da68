package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/operatorclient"
)

// newStatusCommand returns a command that prints a list fetched from the operator interface.
func newStatusCommand[T any](
	o *options, use, short string, fetch func(*operatorclient.Client, context.Context) ([]T, error), text func([]T) *table,
) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			elements, err := fetch(client, cmd.Context())
			if err != nil {
				return err
			}
			return o.print(cmd, elements, func() *table { return text(elements) })
		},
	}
}

func newEntriesCommand(o *options) *cobra.Command {
	return newStatusCommand(o, "entries", "List the live entries", (*operatorclient.Client).Entries,
		func(entries []operatorclient.EntryStatus) *table {
			t := &table{header: []string{"NAME", "ADDRESS", "DATA CENTRE", "REVISION", "CONFIRMED", "LEAVING"}}
			for _, e := range entries {
				confirmed := "never"
				if e.ConfirmationAgeMs >= 0 {
					confirmed = fmt.Sprintf("%d ms ago", e.ConfirmationAgeMs)
				}
				t.add(e.Name, e.PeerAddress, e.DataCentre, formatInt(e.AppliedRevision), confirmed, strconv.FormatBool(e.Leaving))
			}
			return t
		})
}

func newHostsCommand(o *options) *cobra.Command {
	return newStatusCommand(o, "hosts", "List the hosts and their state", (*operatorclient.Client).Hosts,
		func(hosts []operatorclient.HostStatus) *table {
			t := &table{header: []string{"NAME", "ROLE", "STATE", "DATA CENTRE", "ADDRESS", "POLICY", "VERSION", "DETAIL"}}
			for _, h := range hosts {
				t.add(h.Name, h.Role, h.State, h.DataCentre, h.Address, orDash(h.Policy), formatInt(h.ActiveVersion), orDash(h.Detail))
			}
			return t
		})
}

func newRolesCommand(o *options) *cobra.Command {
	return newStatusCommand(o, "roles", "List the leased roles and their holders", (*operatorclient.Client).Roles,
		func(roles []operatorclient.RoleStatus) *table {
			t := &table{header: []string{"ROLE", "HOLDER", "TERM", "ACTING HERE"}}
			for _, r := range roles {
				t.add(r.Role, orDash(r.Holder), formatInt(r.Term), strconv.FormatBool(r.Acting))
			}
			return t
		})
}

func newUsageWindowsCommand(o *options) *cobra.Command {
	return newStatusCommand(o, "usage-windows", "List the usage windows and their reports", (*operatorclient.Client).UsageWindows,
		func(windows []operatorclient.UsageWindow) *table {
			t := &table{header: []string{"WINDOW", "STATE", "WORKSPACES", "REPORTED"}}
			for _, w := range windows {
				t.add(w.Window, w.State, strconv.Itoa(w.Workspaces), strconv.Itoa(w.Reported))
			}
			return t
		})
}

func newVersionsCommand(o *options) *cobra.Command {
	return newStatusCommand(o, "versions", "List the weight versions of the policies", (*operatorclient.Client).Versions,
		func(versions []operatorclient.VersionStatus) *table {
			t := &table{header: []string{"POLICY", "VERSION", "PHASE", "PREVIOUS", "STAGED", "ACTIVE", "ENGINES", "BY UPSTREAM"}}
			for _, v := range versions {
				var serving []string
				for _, u := range v.Upstreams {
					serving = append(serving, u.Upstream+"="+formatInt(u.Active))
				}
				t.add(v.Policy, formatInt(v.Version), v.Phase, formatInt(v.Previous), strconv.Itoa(v.Staged),
					strconv.Itoa(v.Active), strconv.Itoa(v.Engines), strings.Join(serving, " "))
			}
			return t
		})
}

func newExplainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "explain REQUEST-ID", Short: "Show why a request went to its upstream; ask the entry that served it",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			decision, err := client.Explain(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return printJSON(cmd, decision)
		},
	}
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
