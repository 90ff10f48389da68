// Package versionplan decides which upstream loads which weight version of which model, and when. It does no I/O and
// reads no clock.
//
// Each model is served by one and a half times its even share of the upstreams. A step accepts texts of the newest
// version and of the previous one, so at least half of the upstreams of a model load each version while the other half
// serves the step. Where running texts continue across a load, more upstreams load the version as long as such loads
// are free of charge: the fewer upstreams stay behind, the fewer have to load at the start of the next step, which
// cannot use upstreams that are two versions behind.
package versionplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/rendezvous"
)

// Upstream is the known state of an upstream.
type Upstream struct {
	ID         string
	DataCentre string
	// Usable upstreams have not failed, or have answered an order or a report since. The others may have ended, since their
	// entry stays for a while; an order that they get is a trial.
	Usable bool
	// Limited upstreams have named a limit on requests and serve less than others.
	Limited bool
	// Running is the number of requests in flight at the upstream.
	Running int
	// Orders is the number of orders that the upstream has accepted, as far as known.
	Orders int64
	// Versions holds the version served of each model.
	Versions map[string]int64
}

// ModelVersion is a version of a model that its trainer wants served.
type ModelVersion struct {
	Model   string
	Version int64
}

// Demand is the demand for versions of one model.
type Demand struct {
	Model string
	// Newest is the version that its trainer published last.
	Newest int64
	// MinVersion is the highest minimum version of the open jobs; 0 if there is none.
	MinVersion int64
	// WaitsForRunning is set if a load waits until the running texts have ended, which blocks its upstream for seconds.
	WaitsForRunning bool
}

// Load is an order to an upstream to load a version.
type Load struct {
	Upstream string
	Model    string
	Version  int64
	// ExpectedOrders is the number of orders that the upstream must have accepted before this one.
	ExpectedOrders int64
	// Trial is set for an upstream that is not usable.
	Trial bool
}

// Config holds the limits and timeouts of a planner.
type Config struct {
	// MinConcurrentLoads is how many upstreams may load at the same time in the smallest service, and UpstreamsPerLoad
	// the number of upstreams in a service per concurrent load. More concurrent loads than that overload the weight
	// store and slow every load down.
	MinConcurrentLoads, UpstreamsPerLoad int
	// OrderTimeout is how long an unanswered order blocks its upstream, since it may still be executed. It is also the time
	// between two trials of an upstream.
	OrderTimeout time.Duration
	// LoadTime is how long a load takes. After that it no longer counts as a concurrent load.
	LoadTime time.Duration
	// VisibilityTimeout is how long an accepted order blocks its upstream unless the upstream's entry shows the version
	// earlier.
	VisibilityTimeout time.Duration
}

// DefaultConfig returns the values for upstreams that load a version in about a second.
func DefaultConfig() Config {
	return Config{
		MinConcurrentLoads: 2, UpstreamsPerLoad: 5, OrderTimeout: 2500 * time.Millisecond, LoadTime: time.Second, VisibilityTimeout: 3500 * time.Millisecond,
	}
}

// Planner plans loads and tracks the orders in flight.
type Planner struct {
	cfg     Config
	pending map[string]pendingLoad
	// triedAt holds when upstreams that are not usable got their last trial.
	triedAt map[string]time.Time
}

type pendingLoad struct {
	load Load
	// accepted is set once the upstream has accepted the order.
	accepted bool
	// blockedUntil is when the order no longer blocks its upstream, and loadEndsAt when its load is expected to end.
	blockedUntil, loadEndsAt time.Time
}

// New returns a planner without orders in flight.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, pending: map[string]pendingLoad{}, triedAt: map[string]time.Time{}}
}

// Sent records that an order was sent.
func (p *Planner) Sent(l Load, now time.Time) {
	if l.Trial {
		p.triedAt[l.Upstream] = now
	}
	p.pending[l.Upstream] = pendingLoad{load: l, blockedUntil: now.Add(p.cfg.OrderTimeout), loadEndsAt: now.Add(p.cfg.LoadTime)}
}

// Accepted records that the upstream accepted the order.
func (p *Planner) Accepted(l Load, now time.Time) {
	p.pending[l.Upstream] = pendingLoad{
		load: l, accepted: true, blockedUntil: now.Add(p.cfg.VisibilityTimeout), loadEndsAt: now.Add(p.cfg.LoadTime),
	}
}

// Refused records that the upstream did not accept the order.
func (p *Planner) Refused(l Load) { delete(p.pending, l.Upstream) }

// Loading returns the number of upstreams that are loading at now. A trial counts from its acceptance, so that upstreams
// that do not answer hold back no load of the others.
func (p *Planner) Loading(now time.Time) int {
	return p.countPending(now, func(l pendingLoad) bool { return !l.load.Trial || l.accepted })
}

// openTrials returns the number of trials that have not been accepted and may still be.
func (p *Planner) openTrials(now time.Time) int {
	return p.countPending(now, func(l pendingLoad) bool { return l.load.Trial && !l.accepted })
}

func (p *Planner) countPending(now time.Time, counts func(pendingLoad) bool) int {
	n := 0
	for _, pending := range p.pending {
		if now.Before(pending.loadEndsAt) && counts(pending) {
			n++
		}
	}
	return n
}

// NextLoads returns the orders to send at now. Trials come first, because loads of the others may always use up the limit.
func (p *Planner) NextLoads(list []Upstream, demands []Demand, now time.Time) []Load {
	p.prune(list, now)
	maxLoads := max(p.cfg.MinConcurrentLoads, len(list)/p.cfg.UpstreamsPerLoad)
	queues, trials := make([]*queue, 0, len(demands)), make([]*queue, 0, len(demands))
	for _, d := range demands {
		q := p.queue(list, d, len(demands))
		queues, trials = append(queues, q), append(trials, p.trialQueue(q, list, len(demands), now))
	}
	free := maxLoads - p.Loading(now)
	loads := p.take(trials, free-p.openTrials(now), nil)
	return p.take(queues, free, loads)
}

// take appends up to n loads to the list, those of the least covered models first.
func (p *Planner) take(queues []*queue, n int, loads []Load) []Load {
	for n > 0 {
		q := leastCovered(queues)
		if q == nil {
			break
		}
		u := q.candidates[0]
		q.candidates = q.candidates[1:]
		if p.hasPendingLoad(u.ID, loads) {
			continue
		}
		q.addLoad(u)
		loads = append(loads, Load{
			Upstream: u.ID, Model: q.demand.Model, Version: q.demand.Newest, ExpectedOrders: u.Orders, Trial: !u.Usable,
		})
		n--
	}
	return loads
}

// queue holds the upstreams that have to load the newest version of a model.
type queue struct {
	demand     Demand
	candidates []Upstream
	// newestCount is the number of members that serve or are loading the newest version, and olderCount of those that
	// serve an older version that the newest step accepts, out of memberCount.
	newestCount, olderCount, memberCount int
	// minVersion is the oldest version that the newest step accepts.
	minVersion int64
}

// newestWeight is the weight in the coverage of an upstream that serves the newest version. Half of the members are
// enough for the step after the newest one, because the other half then loads the version of that step.
const newestWeight = 2

// serving returns the number of members that can serve the newest step.
func (q *queue) serving() int { return q.newestCount + q.olderCount }

// coverage is the fraction of the members that can serve the newest step or the one after it, whichever is lower: a
// model whose members all serve the previous version has no upstream once its next version is published.
func (q *queue) coverage() float64 {
	return float64(min(q.serving(), newestWeight*q.newestCount)) / float64(max(q.memberCount, 1))
}

// addLoad counts an upstream that is about to load the newest version.
func (q *queue) addLoad(u Upstream) {
	q.newestCount++
	if u.Versions[q.demand.Model] >= q.minVersion {
		q.olderCount--
	}
}

// leastCovered returns the non-empty queue of the model with the lowest coverage, so that no model waits for the loads
// of the others.
func leastCovered(queues []*queue) *queue {
	var least *queue
	for _, q := range queues {
		if len(q.candidates) == 0 {
			continue
		}
		if least == nil || cmp.Or(
			cmp.Compare(q.coverage(), least.coverage()), cmp.Compare(q.serving(), least.serving()),
			cmp.Compare(q.demand.Model, least.demand.Model),
		) < 0 {
			least = q
		}
	}
	return least
}

// prune drops the orders whose version is served, those that timed out and those whose upstream is gone, and the trials of
// upstreams that are usable again or gone.
func (p *Planner) prune(list []Upstream, now time.Time) {
	maps.DeleteFunc(p.triedAt, func(id string, _ time.Time) bool {
		return !slices.ContainsFunc(list, func(u Upstream) bool { return u.ID == id && !u.Usable })
	})
	for id, pending := range p.pending {
		index := slices.IndexFunc(list, func(u Upstream) bool { return u.ID == id })
		served := index >= 0 && list[index].Versions[pending.load.Model] >= pending.load.Version
		if index < 0 || served || !now.Before(pending.blockedUntil) {
			delete(p.pending, id)
		}
	}
}

func (p *Planner) hasPendingLoad(id string, loads []Load) bool {
	if _, ok := p.pending[id]; ok {
		return true
	}
	return slices.ContainsFunc(loads, func(l Load) bool { return l.Upstream == id })
}

// queue returns the upstreams that have to load the newest version of a model, most urgent first.
func (p *Planner) queue(list []Upstream, d Demand, models int) *queue {
	q := &queue{demand: d, minVersion: max(d.Newest-1, d.MinVersion)}
	if d.Newest <= 1 {
		return q
	}
	members := Members(list, d.Model, models)
	var stale, older []Upstream
	newest := 0
	for _, u := range members {
		version := u.Versions[d.Model]
		pending, ok := p.pending[u.ID]
		switch {
		case version >= d.Newest || ok && pending.load.Model == d.Model && pending.load.Version >= d.Newest:
			newest++
		case version < q.minVersion:
			stale = append(stale, u)
		default:
			older = append(older, u)
		}
	}
	q.memberCount, q.newestCount, q.olderCount = len(members), newest, len(older)
	q.candidates = stale
	if missing := targetLoads(list, members, d, models) - newest - len(stale); missing > 0 {
		slices.SortStableFunc(older, func(a, b Upstream) int { return cmp.Compare(a.Running, b.Running) })
		q.candidates = append(q.candidates, older[:min(missing, len(older))]...)
	}
	return q
}

// trialQueue returns the upstreams that would have to load the newest version of a model if they were usable, those that
// were tried least recently first. One whose version serves the newest step needs no trial: a text can show that it works.
func (p *Planner) trialQueue(q *queue, list []Upstream, models int, now time.Time) *queue {
	trials := *q
	trials.candidates = nil
	if q.demand.Newest <= 1 || !slices.ContainsFunc(list, func(u Upstream) bool { return !u.Usable }) {
		return &trials
	}
	for _, u := range unusableMembers(list, q.demand.Model, models) {
		tried, ok := p.triedAt[u.ID]
		if u.Versions[q.demand.Model] < q.minVersion && (!ok || now.Sub(tried) >= p.cfg.OrderTimeout) {
			trials.candidates = append(trials.candidates, u)
		}
	}
	slices.SortStableFunc(trials.candidates, func(a, b Upstream) int { return p.triedAt[a.ID].Compare(p.triedAt[b.ID]) })
	return &trials
}

// targetLoads returns how many members load each version: half of them or, where loads do not block upstreams, the even
// share of all upstreams if that is more. That many loads per version are free of charge.
func targetLoads(list, members []Upstream, d Demand, models int) int {
	half := (len(members) + 1) / 2
	if d.WaitsForRunning {
		return half
	}
	return max(half, len(list)/max(models, 1))
}

// memberShare is the number of members of a model as a multiple of its even share of the upstreams. Each member loads
// at least every other version, so up to twice the even share needs no load that is charged; above 1.5 the loads take
// longer than a step.
const memberShare = 1.5

// Members returns the usable upstreams from list that serve a model, when models models share the upstreams. For each
// limited one there is another one without a limit, as far as there are any, so that not all members of a model are
// limited. Every process computes the same members from the same list, and an added or removed upstream changes few others.
func Members(list []Upstream, model string, models int) []Upstream {
	return members(list, model, models, func(u Upstream) bool { return u.Usable })
}

// unusableMembers returns the upstreams that are not usable and would be members of a model if all were.
func unusableMembers(list []Upstream, model string, models int) []Upstream {
	return slices.DeleteFunc(members(list, model, models, func(Upstream) bool { return true }), func(u Upstream) bool { return u.Usable })
}

// members returns the members of a model among the upstreams that may be one.
func members(list []Upstream, model string, models int, mayServe func(Upstream) bool) []Upstream {
	var eligible []Upstream
	for _, u := range list {
		if _, ok := u.Versions[model]; ok && mayServe(u) {
			eligible = append(eligible, u)
		}
	}
	slices.SortFunc(eligible, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(rendezvous.Weight(model, b.ID), rendezvous.Weight(model, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	count := min(int(math.Ceil(memberShare*float64(len(eligible))/float64(max(models, 1)))), len(eligible))
	chosen := spreadByDataCentre(eligible, count)
	return append(chosen, substitutes(eligible, chosen)...)
}

// substitutes returns upstreams without a limit that are no members yet, as many as there are members with a limit.
func substitutes(usable, members []Upstream) []Upstream {
	missing := 0
	isMember := map[string]bool{}
	for _, u := range members {
		isMember[u.ID] = true
		if u.Limited {
			missing++
		}
	}
	var list []Upstream
	for _, u := range usable {
		if len(list) < missing && !u.Limited && !isMember[u.ID] {
			list = append(list, u)
		}
	}
	return list
}

// spreadByDataCentre returns count upstreams, in the order of the list but with even shares for the data centres.
func spreadByDataCentre(list []Upstream, count int) []Upstream {
	var members []Upstream
	chosen := make([]bool, len(list))
	for len(members) < count {
		seen := map[string]bool{}
		for i, u := range list {
			if chosen[i] || seen[u.DataCentre] || len(members) == count {
				continue
			}
			seen[u.DataCentre] = true
			chosen[i] = true
			members = append(members, u)
		}
	}
	return members
}
