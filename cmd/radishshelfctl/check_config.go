package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/configcheck"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/platform"
	"github.com/radishshelf/radishshelf/serving"
)

// maxConfigBytes bounds a configuration file. The store takes no row of this size.
const maxConfigBytes = 8 << 20

// invalidConfigError is the error of a configuration with errors, which have been printed.
type invalidConfigError struct {
	file   string
	errors int
}

// Error implements error.
func (e *invalidConfigError) Error() string {
	return fmt.Sprintf("%s: %s; correct the file before it is put in force", e.file, countOf(e.errors, "error"))
}

// configSources are the flags that say what a configuration is checked against.
type configSources struct{ settings, against, store string }

func newCheckConfigCommand(o *options) *cobra.Command {
	var sources configSources
	cmd := &cobra.Command{
		Use: "check-config FILE", Short: "Check a configuration before it is put in force; exit code 2 means that it has errors",
		Long: "Check the configuration that an operator writes to the platform's store: errors, entries that can never take\n" +
			"effect, limits that contradict each other, and what differs from the one in force. Warnings do not change the exit code.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := o.checkOutput(); err != nil {
				return err
			}
			report, err := checkConfig(cmd.Context(), args[0], sources)
			if err != nil {
				return err
			}
			if err := printConfigReport(cmd, o, report); err != nil {
				return err
			}
			if n := report.count(string(configcheck.Error)); n > 0 {
				return &invalidConfigError{file: args[0], errors: n}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&sources.settings, "settings", "", "settings file of a host, which names the regions that exist")
	cmd.Flags().StringVar(&sources.against, "against", "", "file with the configuration in force")
	cmd.Flags().StringVar(&sources.store, "store", "", "address of the store, host:port, from which the configuration in force is read")
	cmd.MarkFlagsMutuallyExclusive("against", "store")
	return cmd
}

// checkConfig checks a file against what the sources say.
func checkConfig(ctx context.Context, file string, sources configSources) (*configReport, error) {
	row, err := readConfigFile(file)
	if err != nil {
		return nil, err
	}
	var settings *platform.Settings
	if sources.settings != "" {
		loaded, err := platform.LoadSettings(sources.settings)
		if err != nil {
			return nil, err
		}
		settings = &loaded
	}
	inForce, err := readInForce(ctx, sources)
	if err != nil {
		return nil, err
	}
	report := newConfigReport(file)
	report.addProblems(platform.CheckConfigShape(row))
	next, err := platform.DecodeConfigParts(row)
	if err != nil {
		if report.count(string(configcheck.Error)) == 0 {
			report.add(string(configcheck.Error), "", "", err.Error(), "correct the file")
		}
		return report, nil // the rest cannot be judged by what was decoded
	}
	options := platform.ConfigCheckOptions(settings)
	options.InForce = inForce
	report.addFindings(configcheck.Check(next, options))
	if inForce != nil {
		report.addDifferences(configcheck.Compare(*inForce, next))
	}
	return report, nil
}

// readInForce returns the configuration in force, or nil if no source names it.
func readInForce(ctx context.Context, sources configSources) (*serving.Builder, error) {
	var row []byte
	var err error
	switch {
	case sources.against != "":
		row, err = readConfigFile(sources.against)
	case sources.store != "":
		row, err = readStoredConfig(ctx, sources.store)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	parts, err := platform.DecodeConfigParts(row)
	if err != nil {
		return nil, fmt.Errorf("the configuration in force cannot be read: %w", err)
	}
	return &parts, nil
}

func readConfigFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("%s has %d bytes, more than the %d of a configuration; check the name", file, info.Size(), maxConfigBytes)
	}
	return os.ReadFile(file)
}

// storedConfigRows is how many rows of the operators' table are read at a time.
const storedConfigRows = 100

func readStoredConfig(ctx context.Context, address string) ([]byte, error) {
	store := platform.NewStore(address, platform.Dialer(storeDialTimeout))
	from := ""
	for {
		page, err := store.Range(ctx, hosting.RowRange{Table: platform.OperatorTable, From: from, Limit: storedConfigRows})
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			if platform.IsConfig(row.Key) {
				return row.Value, nil
			}
			from = row.Key + "\x00" // the next key in byte order
		}
		if !page.Truncated || len(page.Rows) == 0 {
			return nil, errors.New("the store holds no configuration; leave out --store for the first one")
		}
	}
}
