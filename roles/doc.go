// Package roles drives the lease state machines of a process against the platform's table and hands out the authority
// that the work of a role needs before each outward action.
package roles
