// Command soak runs real gateway processes under faults and checks their promises.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/radishshelf/radishshelf/standin/soak"
)

func main() {
	binary := flag.String("gateway", "bin/radishshelf-gateway", "gateway program")
	seed := flag.Uint64("seed", 0, "seed of the first run; 0 draws one from the clock")
	seconds := flag.Int("seconds", 20, "time with faults of one run")
	runs := flag.Int("runs", 1, "number of runs, with one seed after the other")
	gateways := flag.Int("gateways", 4, "gateway processes")
	engines := flag.Int("engines", 4, "stand-in engines")
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
		fmt.Printf("%d of %d runs broke a promise\n", failed, *runs)
		os.Exit(1)
	}
}

// run makes one run and prints its figures. The logs of a run that failed are kept.
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
