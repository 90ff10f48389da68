// Package configstore stores the configuration objects in the platform's table.
//
// A change is one transaction. It is conditional on the object's row and on config/head, and puts the object, the head
// with the next global revision and a log row under that revision. The log row holds the ID of the change, so that
// after a lost reply the outcome is found by reading it. Deleted objects stay as tombstones, so that no reader misses a
// deletion.
package configstore
