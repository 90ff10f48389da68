package slopes

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// item is one group of measurements.
type item struct {
	name    string
	measure func(*Report) error
}

// items are in the order in which they run. Those that count processor time run alone.
func items() []item {
	return []item{
		{"memory", measureConfigMemory}, {"prefixes", measurePrefixes}, {"routing", measureRouting},
		{"admission", measureAdmission}, {"claims", measureClaims}, {"hosts", measureHostList}, {"lots", measureLots}, {"usage", measureUsage},
		{"datapath", measureDataPath}, {"heartbeats", measureHeartbeats}, {"configsync", measureConfigSync},
		{"fleetreports", measureFleetReports}, {"rollout", measureActivation}, {"atrest", measureAtRest},
		{"leases", measureLeases},
	}
}

// Run measures the item of that name, or all when it is empty, and prints to out.
func Run(out io.Writer, only string) error {
	r := NewReport(out)
	fmt.Fprintf(out, "machine: %d cores, %s, %s/%s\n", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
	start := time.Now()
	found := false
	for _, i := range items() {
		if only != "" && only != i.name {
			continue
		}
		found = true
		if err := i.measure(r); err != nil {
			return fmt.Errorf("measure %s: %w", i.name, err)
		}
	}
	if !found {
		return fmt.Errorf("there is no item %q; leave --only out to measure all", only)
	}
	fmt.Fprintf(out, "\ntook %s; resident set at the end %s\n", time.Since(start).Round(time.Second), resident())
	return nil
}
