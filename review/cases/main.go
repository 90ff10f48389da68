package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	argsWithCase = 3
)

// caseFunc plays a case. It reports whether the rule held, and an error if the case could not run.
type caseFunc func(f *fleet, trouble bool) (held bool, err error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != argsWithCase || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: cases NAME FOLDER, in the repository's root; NAME is one of %v\n", names)
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run caseFunc, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("trouble=%v", trouble)
	f, err := newFleet(rec)
	if err != nil {
		rec.printf("could not start: %v", err)
		return exitNotRun
	}
	defer f.close()
	held, err := run(f, trouble)
	switch {
	case err != nil:
		rec.printf("RESULT could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case held:
		rec.printf("RESULT the rule held")
		fmt.Println("the rule held")
		return exitHeld
	default:
		rec.printf("RESULT the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
}
