// Package configstore keeps the configuration objects in the platform's table.
//
// A change is one transaction: conditions on the object's row and on config/head; puts of the object, of the head with
// the next global revision, and of a log row under that revision. The log row carries the identity of the change, so
// that a lost reply is settled by reading it. Deleted objects stay as tombstones, so that no reader misses a deletion.
package configstore
