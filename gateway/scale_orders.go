package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/serving"
)

// Times and levels of orders for upstreams.
const (
	// scaleInterval is how often the number of upstreams is looked at.
	scaleInterval = time.Second
	// scaleDownAfter is how long less must be wanted before upstreams are given up; they take seconds to come back.
	scaleDownAfter = 10 * time.Second
	// targetUse is the part of the slots that should be in use; the rest bears the loss of an upstream.
	targetUse = 0.6
)

// scaleOrders orders the number of upstreams of each service and data centre.
type scaleOrders struct {
	g    *Gateway
	mu   sync.Mutex
	busy bool
	next time.Time
	// ordered holds what was ordered last, and lowSince when less became enough.
	ordered  map[scaleSubject]int
	lowSince map[scaleSubject]time.Time
}

// scaleSubject is a service in a data centre.
type scaleSubject struct {
	service, dataCentre string
}

func newScaleOrders(g *Gateway) *scaleOrders {
	return &scaleOrders{g: g, ordered: map[scaleSubject]int{}, lowSince: map[scaleSubject]time.Time{}}
}

// begin reports whether a run is due, and marks it as begun.
func (s *scaleOrders) begin(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || now.Before(s.next) {
		return false
	}
	s.busy, s.next = true, now.Add(scaleInterval)
	return true
}

// run orders what changed.
func (s *scaleOrders) run(ctx context.Context) {
	defer func() {
		s.mu.Lock()
		s.busy = false
		s.mu.Unlock()
	}()
	for subject, count := range s.wanted(time.Now()) {
		if s.ordered[subject] == count {
			continue
		}
		if !s.order(ctx, subject, count) {
			return
		}
		s.ordered[subject] = count
	}
}

func (s *scaleOrders) order(ctx context.Context, subject scaleSubject, count int) bool {
	ctx, cancel := context.WithTimeout(ctx, maxDutyCall)
	defer cancel()
	term, ok := s.g.mayAct()
	if !ok {
		return false
	}
	err := s.g.opts.Duties.OrderUpstreams(ctx, s.g.opts.Host, term, subject.service, subject.dataCentre, count)
	s.g.opts.Log.Info().Str("service", subject.service).Str("data_centre", subject.dataCentre).Int("count", count).
		Int64("term", term).AnErr("error", err).Msg("upstreams ordered")
	return err == nil
}

// wanted returns the number of upstreams wanted of each service that the platform scales.
func (s *scaleOrders) wanted(now time.Time) map[scaleSubject]int {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	wanted := map[scaleSubject]int{}
	if s.g.config == nil {
		return wanted
	}
	for _, service := range s.g.config.Services {
		if service.Scaling == nil {
			continue
		}
		for dataCentre, load := range s.loads(service.Name) {
			subject := scaleSubject{service.Name, dataCentre}
			wanted[subject] = s.damp(subject, load.want(service.Scaling), now)
		}
	}
	return wanted
}

// damp follows a rise at once and a fall only after it lasted.
func (s *scaleOrders) damp(subject scaleSubject, want int, now time.Time) int {
	last, known := s.ordered[subject]
	if !known || want >= last {
		delete(s.lowSince, subject)
		return want
	}
	since, ok := s.lowSince[subject]
	if !ok {
		s.lowSince[subject] = now
		return last
	}
	if now.Sub(since) < scaleDownAfter {
		return last
	}
	delete(s.lowSince, subject)
	return want
}

// scaleLoad is the use of the upstreams of a service in a data centre.
type scaleLoad struct {
	slots, inUse, count int
}

func (l scaleLoad) want(bounds *serving.Scaling) int {
	perUpstream := max(l.slots/max(l.count, 1), 1)
	need := int(float64(l.inUse)/(targetUse*float64(perUpstream))) + 1
	return min(max(need, bounds.Min), bounds.Max)
}

// loads sums the upstreams of a service by data centre. The caller holds the lock of the gateway.
func (s *scaleOrders) loads(service string) map[string]scaleLoad {
	loads := map[string]scaleLoad{}
	for _, e := range s.g.upstreams.Ready(service) {
		l := loads[e.DataCentre]
		l.count++
		l.slots += e.Slots
		others, _ := s.g.loadOfPeers(e.ID)
		l.inUse += s.g.inFlight[e.ID] + others
		loads[e.DataCentre] = l
	}
	return loads
}
