// Command standin-engine runs the stand-in model engine.
package main

import (
	"os"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/standin/engine"
)

func main() { os.Exit(command.Main(engine.Program())) }
