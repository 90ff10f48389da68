package agent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/telemetry"
)

// agentMetrics holds the metrics of one agent.
type agentMetrics struct {
	registry          *telemetry.Registry
	promptTokens      *metrics.Counter
	completionTokens  *metrics.Counter
	heartbeatFailures *metrics.Counter
	ordersRefused     *metrics.Counter
	ordersFailed      *metrics.Counter
	orders            *metrics.Counter
}

func newAgentMetrics(r *telemetry.Registry, a *admission) *agentMetrics {
	r.GetOrCreateGauge("radishshelf_agent_running", func() float64 {
		_, running, _ := a.state()
		return float64(running)
	})
	r.GetOrCreateGauge("radishshelf_agent_queued", func() float64 {
		_, _, queued := a.state()
		return float64(queued)
	})
	return &agentMetrics{
		registry:          r,
		promptTokens:      r.GetOrCreateCounter("radishshelf_agent_prompt_tokens_total"),
		completionTokens:  r.GetOrCreateCounter("radishshelf_agent_completion_tokens_total"),
		heartbeatFailures: r.GetOrCreateCounter("radishshelf_agent_heartbeat_failures_total"),
		ordersRefused:     r.GetOrCreateCounter("radishshelf_agent_orders_fenced_total"),
		ordersFailed:      r.GetOrCreateCounter("radishshelf_agent_orders_failed_total"),
		orders:            r.GetOrCreateCounter("radishshelf_agent_orders_total"),
	}
}

func (m *agentMetrics) countRequest(o outcome.Outcome, complete bool) {
	m.registry.GetOrCreateCounter(fmt.Sprintf("radishshelf_agent_requests_total{outcome=%q,complete=\"%t\"}", o, complete)).Inc()
}

func (m *agentMetrics) countRefusal(kind outcome.Kind) {
	m.registry.GetOrCreateCounter(fmt.Sprintf("radishshelf_agent_refusals_total{kind=%q}", kind)).Inc()
}

func (m *agentMetrics) countDiscarded(reason string) {
	m.registry.GetOrCreateCounter(fmt.Sprintf("radishshelf_agent_samples_discarded_total{reason=%q}", reason)).Inc()
}
