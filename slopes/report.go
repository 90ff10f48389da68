package slopes

import (
	"fmt"
	"io"
)

// Report prints series as they are finished.
type Report struct{ out io.Writer }

// NewReport returns a report that prints to out.
func NewReport(out io.Writer) *Report { return &Report{out: out} }

func (r *Report) heading(text string) { fmt.Fprintf(r.out, "\n# %s\n", text) }

// print writes one line per size and the fit.
func (r *Report) print(list ...*Series) {
	for _, s := range list {
		for _, p := range s.Points {
			fmt.Fprintf(r.out, "%-42s %s=%-8g %12.4g %s\n", s.Name, s.By, p.Size, p.Cost, s.Unit)
		}
		line := Fit(s.Points)
		fmt.Fprintf(r.out, "%-42s fit: fixed %.4g %s, slope %.4g %s per %s, r2 %.3f\n",
			s.Name, line.Fixed, s.Unit, line.Slope, s.Unit, s.By, line.R2)
	}
}
