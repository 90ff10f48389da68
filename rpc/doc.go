// Package rpc holds the messages and the twirp services between the processes of a fleet. The code is generated from
// radishshelf.proto by make generate.
package rpc
