package fleet

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
)

// Names of the programs that a fleet runs.
const (
	entryProgram   = "radishshelf-entry"
	agentProgram   = "radishshelf-agent"
	engineProgram  = "standin-engine"
	serviceProgram = "standin-service"
	trainerProgram = "standin-trainer"
)

// Binaries is the path of the directory that holds the built programs.
type Binaries string

// Build builds the programs of the module at root into dir.
func Build(ctx context.Context, root, dir string) (Binaries, error) {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), "./cmd/"+entryProgram,
		"./cmd/"+agentProgram, "./standin/cmd/"+engineProgram, "./standin/cmd/"+serviceProgram, "./standin/cmd/"+trainerProgram)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the programs: %w\n%s", err, out)
	}
	return Binaries(dir), nil
}

func (b Binaries) path(program string) string { return filepath.Join(string(b), program) }
