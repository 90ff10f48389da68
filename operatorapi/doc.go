// Package operatorapi serves the operator interface of an entry over HTTP: configuration, keys and fleet state.
package operatorapi
