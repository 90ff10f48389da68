// Command standin-service runs the stand-in plain service.
package main

import (
	"os"

	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/standin/service"
)

func main() { os.Exit(command.Main(service.Program())) }
