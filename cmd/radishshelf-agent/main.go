// Command radishshelf-agent runs beside an upstream and is the only process that sends requests to it.
package main

import (
	"os"

	"github.com/radishshelf/radishshelf/command"
)

func main() { os.Exit(command.Main(program())) }
