package fleet

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"
)

// buildTimeout bounds the build of the programs.
const buildTimeout = 90 * time.Second

var binaries Binaries

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "radishshelf-fleet-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	if binaries, err = Build(ctx, "../..", dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
