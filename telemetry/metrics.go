// Package telemetry provides the metrics registry, the status server and the tracer of a daemon.
package telemetry

import "github.com/VictoriaMetrics/metrics"

// Registry is the set of metrics of one process.
type Registry = metrics.Set

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return metrics.NewSet() }
