package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/telemetry"
)

// metricSet holds the metrics of a gateway.
type metricSet struct {
	registry      *telemetry.Registry
	hedges        *metrics.Counter
	probes        *metrics.Counter
	watchFailures *metrics.Counter
	jobsAccepted  *metrics.Counter
	jobsAdopted   *metrics.Counter
	resultsListed *metrics.Counter
	usageReports  *metrics.Counter
	endChecks     *metrics.Counter
	// upstreamsLeaving counts upstreams that announced in a response that they are leaving.
	upstreamsLeaving *metrics.Counter
	// limitChanges counts limits of upstreams that were named, changed or lifted, and invalidLimits those that are no
	// positive number.
	limitChanges, invalidLimits *metrics.Counter
	// upstreamsCold counts upstreams that became cold, and coldRequests the requests and control calls to cold upstreams.
	upstreamsCold, coldRequests *metrics.Counter
	// limitDeferrals counts requests that had to wait for their share of a limit.
	limitDeferrals *metrics.Counter
	// limitRefusals counts requests and calls that found no room within the limits of upstreams, and limitWait measures
	// how long the others waited for it.
	limitRefusals *metrics.Counter
	limitWait     *metrics.Histogram
	suspectEnds   *metrics.Counter
	suspectProbes *metrics.Counter
	// suspectsRefused counts refused requests, and suspectsCleared cases that were closed by a complete response.
	suspectsRefused, suspectsCleared *metrics.Counter
	dutiesTaken                      *metrics.Counter
	// busyUpstreams counts sends that an upstream refused for lack of room.
	busyUpstreams                           *metrics.Counter
	upstreamTime                            *metrics.Histogram
	itemTime                                *metrics.Histogram
	requestTime                             *metrics.Histogram
	storeTime                               *metrics.Histogram
	itemWait, runStart                      *metrics.Histogram
	withoutOwner, resumedTexts, resumeDelay *metrics.Histogram
}

func newMetricSet(r *telemetry.Registry, g *Gateway) *metricSet {
	r.NewGauge("radishshelf_gateway_store_silent_seconds", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.lastStoreResponse.IsZero() {
			return 0
		}
		return time.Since(g.lastStoreResponse).Seconds()
	})
	r.NewGauge("radishshelf_gateway_config_version", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.config == nil {
			return 0
		}
		return float64(g.config.Version)
	})
	r.NewGauge("radishshelf_gateway_slow_engines", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.slowPeriods.Len())
	})
	r.NewGauge("radishshelf_gateway_failing_upstreams", func() float64 { return float64(g.failingUpstreams()) })
	r.NewGauge("radishshelf_gateway_suspected_slow_engines", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.suspectedSlow)
	})
	r.NewGauge("radishshelf_gateway_upstreams", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.upstreams.Len())
	})
	r.NewGauge("radishshelf_gateway_duties_held", func() float64 {
		if _, ok := g.mayAct(); ok {
			return 1
		}
		return 0
	})
	r.NewGauge("radishshelf_gateway_duties_term", func() float64 {
		term, _ := g.mayAct()
		return float64(term)
	})
	r.NewGauge("radishshelf_gateway_starts_held", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.startsPaused {
			return 1
		}
		return 0
	})
	r.NewGauge("radishshelf_gateway_evacuations", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(len(g.evacuations.Active()))
	})
	r.NewGauge("radishshelf_gateway_evacuation_hosts_missing", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.evacuationHostsMissing())
	})
	r.NewGauge("radishshelf_gateway_stranded_jobs", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.strandedJobs)
	})
	r.NewGauge("radishshelf_gateway_suspects", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.suspects.ledger.Len())
	})
	r.NewGauge("radishshelf_gateway_busiest_over_mean", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.busiestOverMean
	})
	r.NewGauge("radishshelf_gateway_limited_upstreams", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.limits.Len())
	})
	r.NewGauge("radishshelf_gateway_cold_upstreams", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.limits.Cold(time.Now()))
	})
	r.NewGauge("radishshelf_gateway_cold_share", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.limits.ColdShare()
	})
	for phase, name := range map[batch.Phase]string{
		batch.Waiting: "waiting", batch.Running: "running", batch.Scoring: "scoring", batch.Finished: "finished",
	} {
		r.NewGauge(fmt.Sprintf("radishshelf_gateway_items{phase=%q}", name), func() float64 { return g.countItems(phase) })
	}
	for _, reason := range holdReasons {
		r.NewGauge(fmt.Sprintf("radishshelf_gateway_items_held_back{reason=%q}", string(reason)), func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return float64(g.itemsHeldBack[reason])
		})
	}
	return &metricSet{
		registry:         r,
		hedges:           r.NewCounter("radishshelf_gateway_hedges_total"),
		busyUpstreams:    r.NewCounter("radishshelf_gateway_busy_upstreams_total"),
		probes:           r.NewCounter("radishshelf_gateway_probes_total"),
		watchFailures:    r.NewCounter("radishshelf_gateway_watch_failures_total"),
		jobsAccepted:     r.NewCounter("radishshelf_gateway_jobs_accepted_total"),
		jobsAdopted:      r.NewCounter("radishshelf_gateway_jobs_adopted_total"),
		resultsListed:    r.NewCounter("radishshelf_gateway_results_listed_total"),
		usageReports:     r.NewCounter("radishshelf_gateway_usage_reports_total"),
		endChecks:        r.NewCounter("radishshelf_gateway_end_checks_total"),
		suspectEnds:      r.NewCounter("radishshelf_gateway_suspect_ends_total"),
		upstreamsLeaving: r.NewCounter("radishshelf_gateway_upstreams_leaving_total"),
		upstreamsCold:    r.NewCounter("radishshelf_gateway_upstreams_cold_total"),
		coldRequests:     r.NewCounter("radishshelf_gateway_cold_requests_total"),
		limitDeferrals:   r.NewCounter("radishshelf_gateway_limit_deferrals_total"),
		limitChanges:     r.NewCounter("radishshelf_gateway_limit_changes_total"),
		invalidLimits:    r.NewCounter("radishshelf_gateway_invalid_limits_total"),
		limitRefusals:    r.NewCounter("radishshelf_gateway_limit_refusals_total"),
		limitWait:        r.NewHistogram("radishshelf_gateway_limit_wait_seconds"),
		suspectProbes:    r.NewCounter("radishshelf_gateway_suspect_probes_total"),
		suspectsRefused:  r.NewCounter("radishshelf_gateway_suspects_refused_total"),
		suspectsCleared:  r.NewCounter("radishshelf_gateway_suspects_cleared_total"),
		dutiesTaken:      r.NewCounter("radishshelf_gateway_duties_taken_total"),
		upstreamTime:     r.NewHistogram("radishshelf_gateway_upstream_seconds"),
		itemTime:         r.NewHistogram("radishshelf_gateway_item_seconds"),
		requestTime:      r.NewHistogram("radishshelf_gateway_request_seconds"),
		storeTime:        r.NewHistogram("radishshelf_gateway_store_call_seconds"),
		itemWait:         r.NewHistogram("radishshelf_gateway_item_wait_seconds"),
		withoutOwner:     r.NewHistogram("radishshelf_gateway_without_owner_seconds"),
		resumeDelay:      r.NewHistogram("radishshelf_gateway_resume_delay_seconds"),
		resumedTexts:     r.NewHistogram("radishshelf_gateway_resumed_texts"),
		runStart:         r.NewHistogram("radishshelf_gateway_run_start_seconds"),
	}
}

// countItems counts the items in a phase over all jobs that this process owns.
func (g *Gateway) countItems(phase batch.Phase) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, e := range g.jobs {
		if e.owned != nil {
			n += e.owned.job.Count(phase)
		}
	}
	return float64(n)
}

// itemFailures counts item runs that ended early, by reason.
func (m *metricSet) itemFailures(reason string) *metrics.Counter {
	return m.registry.GetOrCreateCounter(fmt.Sprintf("radishshelf_gateway_item_failures_total{reason=%q}", reason))
}

// panics counts recovered panics, by operation.
func (m *metricSet) panics(operation string) *metrics.Counter {
	return m.registry.GetOrCreateCounter(fmt.Sprintf("radishshelf_gateway_unexpected_failures_total{in=%q}", operation))
}

// scopeRefusals counts requests that were refused at once because a constraint leaves them no upstream, by constraint.
func (m *metricSet) scopeRefusals(constraint string) *metrics.Counter {
	return m.registry.GetOrCreateCounter(fmt.Sprintf("radishshelf_gateway_scope_refusals_total{constraint=%q}", constraint))
}

// storeCalls counts calls to the store, by call and result.
func (m *metricSet) storeCalls(call, result string) *metrics.Counter {
	return m.registry.GetOrCreateCounter(
		fmt.Sprintf("radishshelf_gateway_store_calls_total{call=%q,result=%q}", call, result))
}

// upstreamsEnded counts incarnations of upstreams that have ended, by the evidence for it.
func (m *metricSet) upstreamsEnded(seen string) *metrics.Counter {
	return m.registry.GetOrCreateCounter(fmt.Sprintf("radishshelf_gateway_upstreams_ended_total{seen=%q}", seen))
}

// versionOrders counts orders to change the weight version, by result.
func (m *metricSet) versionOrders(result string) *metrics.Counter {
	return m.registry.GetOrCreateCounter(fmt.Sprintf("radishshelf_gateway_version_orders_total{answer=%q}", result))
}

// rowsSkipped counts rows that could not be decoded, by table.
func (m *metricSet) rowsSkipped(table string) *metrics.Counter {
	return m.registry.GetOrCreateCounter(fmt.Sprintf("radishshelf_gateway_rows_skipped_total{table=%q}", table))
}

// requests counts responses to callers, by kind.
func (m *metricSet) requests(kind string) *metrics.Counter {
	return m.registry.GetOrCreateCounter(fmt.Sprintf("radishshelf_gateway_requests_total{kind=%q}", kind))
}
