// Package operatorapi serves the operator interface of an entry: configuration, keys, and the state of the fleet.
package operatorapi
