// Command soak runs real gateway processes under injected faults and checks their guarantees.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/radishshelf/radishshelf/standin/soak"
)

func main() {
	binary := flag.String("gateway", "bin/radishshelf-gateway", "path of the gateway binary")
	seed := flag.Uint64("seed", 0, "seed of the first run; 0 derives one from the clock")
	seconds := flag.Int("seconds", 20, "seconds of each run during which faults are injected")
	runs := flag.Int("runs", 1, "number of runs, each with the next seed")
	gateways := flag.Int("gateways", 4, "number of gateway processes")
	engines := flag.Int("engines", 4, "number of stand-in engines")
	flag.Parse()
	firstSeed := *seed
	if firstSeed == 0 {
		firstSeed = uint64(time.Now().UnixNano() % 1e9)
	}
	failed := 0
	for i := range *runs {
		if !run(soak.Options{
			Binary: *binary, Seed: firstSeed + uint64(i), Duration: time.Duration(*seconds) * time.Second, Gateways: *gateways,
			Engines: *engines,
		}) {
			failed++
		}
	}
	if failed > 0 {
		fmt.Printf("%d of %d runs failed\n", failed, *runs)
		os.Exit(1)
	}
}

// run executes one run, prints its summary and reports whether it passed. The logs of a failed run are kept.
func run(opts soak.Options) bool {
	dir, err := os.MkdirTemp("", "radishshelf-soak-")
	if err != nil {
		fmt.Println(err)
		return false
	}
	opts.Dir = dir
	summary, err := soak.Run(opts)
	fmt.Println(summary)
	if err != nil {
		fmt.Printf("%v\nlogs are in %s\n", err, dir)
		return false
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Println(err)
	}
	return true
}
