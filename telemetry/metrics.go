// Package telemetry holds the metrics registry, the status port and the trace setup of a daemon.
package telemetry

import "github.com/VictoriaMetrics/metrics"

// Registry is the set of metrics of one process.
type Registry = metrics.Set

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return metrics.NewSet() }
