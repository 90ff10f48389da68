package drain_test

import (
	"fmt"

	"github.com/radishshelf/radishshelf/drain"
)

// A leaving process refuses new requests and stops once those in flight have finished.
func Example() {
	machine := drain.New()
	machine.Ready()
	fmt.Println(machine.Begin(), machine.InFlight())
	machine.Leave("host is replaced")
	fmt.Println(machine.Begin())
	fmt.Println(machine.State())
	machine.End()
	fmt.Println(machine.State())
	// Output:
	// <nil> 1
	// no new work while leaving (host is replaced); use another upstream
	// leaving
	// stopped
}
