// Command standin-trainer runs the stand-in trainer.
package main

import (
	"os"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/standin/trainer"
)

func main() { os.Exit(command.Main(trainer.Program())) }
