// Package serving defines the configuration used to serve requests: routes, services, workspaces and limits. It does no
// I/O. A Config is immutable once it is built.
package serving
