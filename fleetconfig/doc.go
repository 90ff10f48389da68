// Package fleetconfig holds the configuration of the fleet as versioned objects.
//
// Invariant of State: the revision of an object never decreases, so an applied configuration never reverts, regardless
// of the order in which older objects arrive and where they come from.
package fleetconfig
