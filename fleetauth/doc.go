// Package fleetauth loads what the processes of a fleet authenticate to each other with: certificates for mutual TLS
// and the shared credential.
package fleetauth
