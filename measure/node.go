package measure

import (
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/prefixindex"
	"github.com/radishshelf/radishshelf/routing"
)

// Timing of reports: one per second, late by one to three seconds, a tenth of them lost.
const (
	reportInterval = time.Second
	reportLagMin   = time.Second
	reportLagRange = 2 * time.Second
	reportLoss     = 0.1
)

// reportMaxAge is where the router drops a report; it exceeds the interval, the largest lag and one lost report.
const reportMaxAge = 10 * time.Second

// Entry is one entry with its own lagging view of the engines.
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

// NewEntry returns an entry in a region that receives reports from all engines.
func NewEntry(s *Sim, u User, region int, engines []*Engine, cfg EngineConfig) *Entry {
	n := &Entry{
		Region: region, Engines: engines, sim: s, user: u,
		InFlight: routing.NewInFlight(), Index: prefixindex.New(prefixindex.DefaultConfig()),
	}
	routes := routing.DefaultConfig()
	routes.DataCentre, routes.Region = u.Regions[region], u.Regions[region]
	routes.MaxReportAge = reportMaxAge
	routes.PrefillTokensPerSecond = cfg.PrefillTokensPerSecond
	routes.BlockTokens = cfg.BlockTokens
	routes.DefaultTokensPerSecond = cfg.Capacity()
	n.Router = routing.New(routes, n.Index, n.InFlight, s.Rand)
	for _, e := range engines {
		n.Candidates = append(n.Candidates, routing.Candidate{
			Name: e.Name, Region: u.Regions[e.Region], DataCentre: u.Regions[e.Region], Serves: "p", Version: 1,
			Alive: true, Healthy: true, Slots: cfg.Slots,
		})
	}
	return n
}

// report is the load and the cache events of one engine at one moment.
type report struct {
	engine int
	view   routing.Candidate
	event  prefixindex.Event
}

// StartReports makes the engines report to all nodes, late and with losses.
func StartReports(s *Sim, nodes []*Entry, cfg EngineConfig) {
	seq := int64(0)
	s.Every(reportInterval, func() {
		seq++
		for i, e := range nodes[0].Engines {
			r := e.report(i, seq, cfg)
			for _, n := range nodes {
				if s.Rand.Float64() < reportLoss {
					continue
				}
				lag := reportLagMin + seconds(s.Rand.Float64()*reportLagRange.Seconds())
				s.After(lag, func() { n.receive(r) })
			}
		}
	})
}

func (e *Engine) report(index int, seq int64, cfg EngineConfig) report {
	r := report{engine: index}
	r.view = routing.Candidate{
		ReportedAt: e.sim.Now(), Running: len(e.running), Queued: len(e.queue), Slots: cfg.Slots,
		PendingTokens: e.PendingTokens(), TokensPerSecond: e.Rate(), Alive: !e.Down,
	}
	r.event = prefixindex.Event{
		Upstream: e.Name, Incarnation: strconv.Itoa(e.Incarnation), Seq: seq, Added: e.added, Removed: e.removed,
	}
	e.added, e.removed = nil, nil
	return r
}

// receive takes a report unless a newer one is known.
func (n *Entry) receive(r report) {
	n.Index.Apply(r.event, n.sim.Now())
	v := &n.Candidates[r.engine]
	if r.view.ReportedAt.Before(v.ReportedAt) {
		return
	}
	v.ReportedAt, v.Running, v.Queued = r.view.ReportedAt, r.view.Running, r.view.Queued
	v.PendingTokens, v.TokensPerSecond = r.view.PendingTokens, r.view.TokensPerSecond
	v.Alive = r.view.Alive
}

// Delay is the one-way delay between the node and an engine.
func (n *Entry) Delay(e *Engine) time.Duration {
	if e.Region == n.Region {
		return 0
	}
	return n.user.CrossRegionDelay
}

// EngineIndex returns the place of an engine in Engines.
func (n *Entry) EngineIndex(name string) int {
	for i, e := range n.Engines {
		if e.Name == name {
			return i
		}
	}
	return -1
}
