// Package serving holds the configuration by which requests are served: routes, services, workspaces and limits. It is
// pure code. A Config is immutable once it is built.
package serving
