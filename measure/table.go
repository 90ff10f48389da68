package measure

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// row holds the values of one figure for all seeds.
type row struct {
	figure   Figure
	policy   []float64
	baseline []float64
}

// Seeds is the number of seeds that the table covers.
const Seeds = 5

// parallelRuns limits the CPU cores in use. Every run has its own simulation, so the order of runs does not affect the
// results.
const parallelRuns = 4

// WriteTable runs the scenarios for their users with the seeds seed..seed+Seeds-1. It prints the median and the range
// of each figure, and the numbers of seeds in which the policy was better than, equal to and worse than the baseline.
func WriteTable(w io.Writer, scenarios []Scenario, seed int64) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "seeds %d..%d, median [lowest..highest]\n", seed, seed+Seeds-1)
	for _, s := range scenarios {
		fmt.Fprintf(t, "\n%s, against %s\n", s.Name, s.Baseline)
		fmt.Fprintln(t, "user\tfigure\tunit\tpolicy\tbaseline\tbetter/equal/worse\tresult")
		for _, u := range s.users() {
			for _, r := range s.rows(u, seed) {
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", u.Name, r.figure.Name, r.figure.Unit,
					formatRange(r.policy), formatRange(r.baseline), r.verdict())
			}
		}
	}
	return t.Flush()
}

// users returns the users to simulate; a scenario that does not depend on the user runs only one of them.
func (s Scenario) users() []User {
	if s.Fleets != nil {
		return s.Fleets
	}
	if !s.SizeIndependent {
		return Users()
	}
	u := Users()[0]
	u.Name = "both"
	return []User{u}
}

func (s Scenario) rows(u User, seed int64) []row {
	var runs [Seeds][]Figure
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for n := range runs {
		group.Go(func() error {
			runs[n] = s.Run(u, seed+int64(n))
			return nil
		})
	}
	// The functions return no error; Wait only waits for all of them.
	_ = group.Wait()
	rows := make([]row, len(runs[0]))
	for _, figures := range runs {
		for i, f := range figures {
			rows[i].figure = f
			rows[i].policy = append(rows[i].policy, f.Policy)
			rows[i].baseline = append(rows[i].baseline, f.Baseline)
		}
	}
	return rows
}

// formatRange formats the median and the range of values.
func formatRange(values []float64) string {
	return fmt.Sprintf("%s [%s..%s]", formatNumber(quantile(values, 0.5)), formatNumber(slices.Min(values)), formatNumber(slices.Max(values)))
}

func formatNumber(v float64) string {
	if math.Abs(v) >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// verdict counts the seeds in which the policy was better, equal and worse, and says which side has the better median.
func (r row) verdict() string {
	better, equal, worse := 0, 0, 0
	for i := range r.policy {
		switch r.figure.compare(r.policy[i], r.baseline[i]) {
		case 1:
			better++
		case 0:
			equal++
		default:
			worse++
		}
	}
	result := "equal"
	switch r.figure.compare(quantile(r.policy, 0.5), quantile(r.baseline, 0.5)) {
	case 1:
		result = "policy better"
	case -1:
		result = "POLICY LOSES"
	}
	if r.figure.Direction == Informative {
		return "-\t-"
	}
	return fmt.Sprintf("%d/%d/%d\t%s", better, equal, worse, result)
}

// compare returns 1 if the policy is better, -1 if the baseline is, and 0 if they are equal or f is informative.
func (f Figure) compare(policy, baseline float64) int {
	switch {
	case policy == baseline || f.Direction == Informative:
		return 0
	case (policy < baseline) == (f.Direction == LowerIsBetter):
		return 1
	default:
		return -1
	}
}
