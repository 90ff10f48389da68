// Command radishshelf-entry serves callers, trainers, operators and peers.
package main

import (
	"os"

	"github.com/radishshelf/radishshelf/command"
)

func main() { os.Exit(command.Main(program())) }
