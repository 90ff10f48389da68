// Package roles acquires and renews the leases of a process in the platform's table. The code that does the work of a
// role asks an Authority before each action with an external effect.
package roles
