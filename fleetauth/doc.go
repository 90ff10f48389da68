// Package fleetauth loads what the processes of a fleet show each other: certificates for mutual TLS and the shared
// credential.
package fleetauth
