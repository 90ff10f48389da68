package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/gateway"
	"github.com/radishshelf/radishshelf/platform"
)

// storeDialTimeout bounds the connection setup to the store.
const storeDialTimeout = 3 * time.Second

// newStoreCommand returns the commands that read the platform's store directly, without any process of the service.
func newStoreCommand(o *options) *cobra.Command {
	var address string
	cmd := &cobra.Command{Use: "store", Short: "Inspect the service's tables in the platform's store"}
	cmd.PersistentFlags().StringVar(&address, "store", "", "address of the store, host:port")
	open := func() (*platform.Store, error) {
		if address == "" {
			return nil, fmt.Errorf("no store address; set --store to its host:port, as in provider.address of the settings")
		}
		return platform.NewStore(address, platform.Dialer(storeDialTimeout)), nil
	}
	read := func(cmd *cobra.Command) (*gateway.Snapshot, error) {
		store, err := open()
		if err != nil {
			return nil, err
		}
		return gateway.ReadSnapshot(cmd.Context(), store)
	}
	cmd.AddCommand(
		&cobra.Command{
			Use: "status", Short: "Show the duty holder, the processes, the jobs and the upstreams with their versions", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				snapshot, err := read(cmd)
				if err != nil {
					return err
				}
				if err := printStoreStatus(cmd, o, snapshot); err != nil {
					return err
				}
				store, err := open()
				if err != nil {
					return err
				}
				return printUpstreams(cmd, o, store)
			},
		},
		&cobra.Command{
			Use: "snapshot FILE", Short: "Write the service's tables to a file and check them", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				snapshot, err := read(cmd)
				if err != nil {
					return err
				}
				f, err := os.Create(args[0])
				if err != nil {
					return err
				}
				if err := snapshot.Write(f); err != nil {
					f.Close()
					return err
				}
				if err := f.Close(); err != nil {
					return err
				}
				return printViolations(cmd, snapshot)
			},
		},
		&cobra.Command{
			Use: "check FILE", Short: "Check a snapshot against the invariants of the tables", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				f, err := os.Open(args[0])
				if err != nil {
					return err
				}
				defer f.Close()
				snapshot, err := gateway.LoadSnapshot(f)
				if err != nil {
					return err
				}
				return printViolations(cmd, snapshot)
			},
		},
	)
	return cmd
}

// printViolations prints the rows that break an invariant, and returns an error if there are any.
func printViolations(cmd *cobra.Command, snapshot *gateway.Snapshot) error {
	violations := snapshot.Check()
	for _, violation := range violations {
		if _, err := fmt.Fprintln(cmd.OutOrStdout(), violation); err != nil {
			return err
		}
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d rows break an invariant", len(violations))
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "%d rows, no fault\n", len(snapshot.Rows))
	return err
}

func printStoreStatus(cmd *cobra.Command, o *options, snapshot *gateway.Snapshot) error {
	duties, held := snapshot.Duties()
	holder := "nobody"
	if held && duties.Holder != "" {
		holder = fmt.Sprintf("%s under term %d", duties.Holder, duties.Term)
	}
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "duties: %s\n", holder); err != nil {
		return err
	}
	processes := &table{header: []string{"PROCESS", "DATA CENTRE", "CONFIGURATION", "LEAVING", "BEAT"}}
	for _, h := range snapshot.Heartbeats() {
		processes.rows = append(processes.rows, []string{
			h.Host, h.DataCentre, fmt.Sprint(h.ConfigVersion), fmt.Sprint(h.Leaving), fmt.Sprint(h.Sequence),
		})
	}
	if err := o.print(cmd, snapshot.Heartbeats(), func() *table { return processes }); err != nil {
		return err
	}
	jobs := &table{header: []string{"JOB", "MODEL", "OWNER", "LISTED", "TOTAL", "ACCEPTED AT", "ENDED"}}
	for _, j := range snapshot.Jobs() {
		jobs.rows = append(jobs.rows, []string{
			j.ID, j.Model, j.Owner, fmt.Sprint(j.Listed), fmt.Sprint(j.Total), j.AcceptedAt.Truncate(time.Millisecond).String(),
			fmt.Sprint(j.Ended),
		})
	}
	return o.print(cmd, snapshot.Jobs(), func() *table { return jobs })
}

// printUpstreams prints the registry entries that the upstreams wrote about themselves.
func printUpstreams(cmd *cobra.Command, o *options, store *platform.Store) error {
	list, unreadable, err := gateway.ReadUpstreams(cmd.Context(), store, platform.Codec{})
	if err != nil {
		return err
	}
	t := &table{header: []string{"UPSTREAM", "SERVICE", "DATA CENTRE", "STATE", "VERSIONS"}}
	for _, e := range list {
		var versions []string
		for _, model := range slices.Sorted(maps.Keys(e.Versions)) {
			versions = append(versions, fmt.Sprintf("%s %d", model, e.Versions[model]))
		}
		t.rows = append(t.rows, []string{e.ID, e.Service, e.DataCentre, string(e.State), strings.Join(versions, ", ")})
	}
	for _, key := range unreadable {
		t.rows = append(t.rows, []string{key, "", "", "cannot be read", ""})
	}
	return o.print(cmd, list, func() *table { return t })
}
