package measure

import (
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/prefixindex"
	"github.com/radishshelf/radishshelf/routing"
)

// Load reports are sent every second and arrive one to three seconds later; a tenth of them is lost.
const (
	reportInterval = time.Second
	reportLagMin   = time.Second
	reportLagRange = 2 * time.Second
	reportLoss     = 0.1
)

// reportMaxAge is the age at which the router ignores a report. It exceeds the sum of the interval, the maximum delay
// and one lost report.
const reportMaxAge = 10 * time.Second

// Entry models an entry process with its own, delayed view of the engines.
type Entry struct {
	Region     int
	Engines    []*Engine
	Candidates []routing.Candidate
	InFlight   *routing.InFlight
	Index      *prefixindex.Index
	Router     *routing.Router
	sim        *Sim
	user       User
}

// NewEntry returns an entry in the given region that routes to all engines.
func NewEntry(s *Sim, u User, region int, engines []*Engine, cfg EngineConfig) *Entry {
	entry := &Entry{
		Region: region, Engines: engines, sim: s, user: u,
		InFlight: routing.NewInFlight(), Index: prefixindex.New(prefixindex.DefaultConfig()),
	}
	routingConfig := routing.DefaultConfig()
	routingConfig.DataCentre, routingConfig.Region = u.Regions[region], u.Regions[region]
	routingConfig.MaxReportAge = reportMaxAge
	routingConfig.PrefillTokensPerSecond = cfg.PrefillTokensPerSecond
	routingConfig.BlockTokens = cfg.BlockTokens
	routingConfig.DefaultTokensPerSecond = cfg.Capacity()
	entry.Router = routing.New(routingConfig, entry.Index, entry.InFlight, s.Rand)
	for _, e := range engines {
		entry.Candidates = append(entry.Candidates, routing.Candidate{
			Name: e.Name, Region: u.Regions[e.Region], DataCentre: u.Regions[e.Region], Serves: "p", Version: 1,
			Alive: true, Healthy: true, Slots: cfg.Slots,
		})
	}
	return entry
}

// loadReport holds the load of one engine at one time and its cache events since the previous report.
type loadReport struct {
	engine    int
	candidate routing.Candidate
	event     prefixindex.Event
}

// StartReports makes every engine report periodically to all entries, with delays and losses.
func StartReports(s *Sim, entries []*Entry, cfg EngineConfig) {
	seq := int64(0)
	s.Every(reportInterval, func() {
		seq++
		for i, e := range entries[0].Engines {
			r := e.report(i, seq, cfg)
			for _, entry := range entries {
				if s.Rand.Float64() < reportLoss {
					continue
				}
				lag := reportLagMin + seconds(s.Rand.Float64()*reportLagRange.Seconds())
				s.After(lag, func() { entry.receive(r) })
			}
		}
	})
}

func (e *Engine) report(index int, seq int64, cfg EngineConfig) loadReport {
	r := loadReport{engine: index}
	r.candidate = routing.Candidate{
		ReportedAt: e.sim.Now(), Running: len(e.running), Queued: len(e.queue), Slots: cfg.Slots,
		PendingTokens: e.PendingTokens(), TokensPerSecond: e.Rate(), Alive: !e.Down,
	}
	r.event = prefixindex.Event{
		Upstream: e.Name, Incarnation: strconv.Itoa(e.Incarnation), Seq: seq, Added: e.addedBlocks, Removed: e.removedBlocks,
	}
	e.addedBlocks, e.removedBlocks = nil, nil
	return r
}

// receive applies the cache events of a report, and its load unless a newer report has already been received.
func (entry *Entry) receive(r loadReport) {
	entry.Index.Apply(r.event, entry.sim.Now())
	v := &entry.Candidates[r.engine]
	if r.candidate.ReportedAt.Before(v.ReportedAt) {
		return
	}
	v.ReportedAt, v.Running, v.Queued = r.candidate.ReportedAt, r.candidate.Running, r.candidate.Queued
	v.PendingTokens, v.TokensPerSecond = r.candidate.PendingTokens, r.candidate.TokensPerSecond
	v.Alive = r.candidate.Alive
}

// Delay returns the one-way network delay between the entry and an engine.
func (entry *Entry) Delay(e *Engine) time.Duration {
	if e.Region == entry.Region {
		return 0
	}
	return entry.user.CrossRegionDelay
}

// EngineIndex returns the index in Engines of the engine with the given name, or -1.
func (entry *Entry) EngineIndex(name string) int {
	for i, e := range entry.Engines {
		if e.Name == name {
			return i
		}
	}
	return -1
}
