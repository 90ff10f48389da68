// Package jsonshape finds where a JSON text does not fit the Go type that it is decoded into: wrong types, names that look
// like misspelt fields, names that stand twice, and negative numbers. encoding/json reports the first wrong type only,
// without its position in a list, and ignores the rest. The package does no I/O.
package jsonshape
