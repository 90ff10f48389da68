// Package fleetconfig holds the configuration of the fleet as versioned objects.
//
// The invariant of State: the revision of an object never falls, so a configuration that was applied once never
// reverts, whatever order or source older objects arrive from.
package fleetconfig
