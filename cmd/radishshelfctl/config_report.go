package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/radishshelf/radishshelf/configcheck"
	"github.com/radishshelf/radishshelf/jsonshape"
	"github.com/radishshelf/radishshelf/platform"
)

// configReport is the result of a check of a configuration, as it is printed with --output json.
type configReport struct {
	File string `json:"file"`
	// OK is whether there is no error.
	OK          bool               `json:"ok"`
	Findings    []configFinding    `json:"findings"`
	Differences []configDifference `json:"differences"`
	// compared is set if there was a configuration in force.
	compared bool
}

type configFinding struct {
	Severity string `json:"severity"`
	// Place is the path in the file, empty for the whole of it, and About the entry by its name.
	Place   string `json:"place"`
	About   string `json:"about,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

type configDifference struct {
	Change string `json:"change"`
	Place  string `json:"place,omitempty"`
	About  string `json:"about"`
	Field  string `json:"field,omitempty"`
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
}

func newConfigReport(file string) *configReport {
	return &configReport{File: file, OK: true, Findings: []configFinding{}, Differences: []configDifference{}}
}

func (r *configReport) add(severity, place, about, problem, remedy string) {
	r.Findings = append(r.Findings, configFinding{severity, place, about, problem, remedy})
	r.OK = r.OK && severity != string(configcheck.Error)
}

func (r *configReport) addProblems(problems []jsonshape.Problem) {
	for _, p := range problems {
		severity := configcheck.Warning
		if p.Severe {
			severity = configcheck.Error
		}
		r.add(string(severity), p.Path, "", p.Problem, p.Remedy)
	}
}

func (r *configReport) addFindings(findings []configcheck.Finding) {
	for _, f := range findings {
		r.add(string(f.Severity), platform.ConfigPath(f.Place), f.Place.String(), f.Problem, f.Remedy)
	}
}

func (r *configReport) addDifferences(differences []configcheck.Difference) {
	r.compared = true
	for _, d := range differences {
		r.Differences = append(r.Differences, configDifference{
			string(d.Change), platform.ConfigPath(d.Place), d.Place.String(), string(d.Place.Field), d.From, d.To,
		})
	}
}

func (r *configReport) count(severity string) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == severity {
			n++
		}
	}
	return n
}

// printConfigReport writes a report as JSON, or a line for each finding and difference and one at the end.
func printConfigReport(cmd *cobra.Command, o *options, r *configReport) error {
	if o.output == outputJSON {
		return printJSON(cmd, r)
	}
	var lines []string
	for _, f := range r.Findings {
		lines = append(lines, fmt.Sprintf("%s: %s%s%s; %s", f.Severity, prefixed(f.Place), prefixed(f.About), f.Problem, f.Remedy))
	}
	for _, d := range r.Differences {
		line := fmt.Sprintf("%s: %s%s", d.Change, prefixed(d.Place), d.About)
		if d.Field != "" {
			line += fmt.Sprintf(", %s: %q is now %q", d.Field, d.From, d.To)
		}
		lines = append(lines, line)
	}
	if r.compared && len(r.Differences) == 0 {
		lines = append(lines, "nothing differs from the configuration in force")
	}
	if r.OK {
		end := "ok"
		if n := r.count(string(configcheck.Warning)); n > 0 {
			end += ", " + countOf(n, "warning")
		}
		lines = append(lines, end)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", r.File, line); err != nil {
			return err
		}
	}
	return nil
}

// prefixed returns a text that introduces what follows it, or nothing.
func prefixed(text string) string {
	if text == "" {
		return ""
	}
	return text + ": "
}

// countOf returns a number with the thing that it counts.
func countOf(n int, thing string) string {
	if n == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", n, thing)
}
