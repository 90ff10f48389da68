// Package rpc holds the messages and the Twirp services that the processes of a fleet use among themselves. The code is
// generated from radishshelf.proto by make generate.
package rpc
