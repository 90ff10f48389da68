package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/serving"
)

// Parameters of scaling orders.
const (
	// scaleInterval is the time between two checks of the number of upstreams.
	scaleInterval = time.Second
	// scaleDownDelay is how long fewer upstreams must suffice before some are given up; they take seconds to come
	// back.
	scaleDownDelay = 10 * time.Second
	// targetUtilization is the fraction of the slots that should be in use; the rest covers the loss of an upstream.
	targetUtilization = 0.6
)

// upstreamScaler orders the number of upstreams of each service and data centre.
type upstreamScaler struct {
	g    *Gateway
	mu   sync.Mutex
	busy bool
	next time.Time
	// ordered holds the number ordered last, and lowSince when a lower number began to suffice.
	ordered  map[scaleKey]int
	lowSince map[scaleKey]time.Time
}

// scaleKey identifies a service in a data centre.
type scaleKey struct {
	service, dataCentre string
}

func newUpstreamScaler(g *Gateway) *upstreamScaler {
	return &upstreamScaler{g: g, ordered: map[scaleKey]int{}, lowSince: map[scaleKey]time.Time{}}
}

// beginIfDue reports whether a run is due and, if so, marks it as started.
func (s *upstreamScaler) beginIfDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || now.Before(s.next) {
		return false
	}
	s.busy, s.next = true, now.Add(scaleInterval)
	return true
}

// run orders the numbers that changed.
func (s *upstreamScaler) run(ctx context.Context) {
	defer func() {
		s.mu.Lock()
		s.busy = false
		s.mu.Unlock()
	}()
	for key, count := range s.desiredCounts(time.Now()) {
		if s.ordered[key] == count {
			continue
		}
		if !s.order(ctx, key, count) {
			return
		}
		s.ordered[key] = count
	}
}

func (s *upstreamScaler) order(ctx context.Context, key scaleKey, count int) bool {
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	term, ok := s.g.mayAct()
	if !ok {
		return false
	}
	err := s.g.opts.Duties.OrderUpstreams(ctx, s.g.opts.Host, term, key.service, key.dataCentre, count)
	s.g.opts.Log.Info().Str("service", key.service).Str("data_centre", key.dataCentre).Int("count", count).
		Int64("term", term).AnErr("error", err).Msg("upstreams ordered")
	return err == nil
}

// desiredCounts returns the desired number of upstreams of each service that the platform scales.
func (s *upstreamScaler) desiredCounts(now time.Time) map[scaleKey]int {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	wanted := map[scaleKey]int{}
	if s.g.config == nil {
		return wanted
	}
	for _, service := range s.g.config.Services {
		if service.Scaling == nil {
			continue
		}
		for dataCentre, load := range s.loads(service.Name) {
			key := scaleKey{service.Name, dataCentre}
			wanted[key] = s.delayDecrease(key, load.desiredCount(service.Scaling), now)
		}
	}
	return wanted
}

// delayDecrease follows an increase at once, and a decrease only after scaleDownDelay.
func (s *upstreamScaler) delayDecrease(key scaleKey, want int, now time.Time) int {
	last, known := s.ordered[key]
	if !known || want >= last {
		delete(s.lowSince, key)
		return want
	}
	since, ok := s.lowSince[key]
	if !ok {
		s.lowSince[key] = now
		return last
	}
	if now.Sub(since) < scaleDownDelay {
		return last
	}
	delete(s.lowSince, key)
	return want
}

// scaleLoad is the load on the upstreams of a service in a data centre.
type scaleLoad struct {
	slots, inUse, count int
}

// desiredCount returns the number of upstreams that brings the load to targetUtilization, within the bounds.
func (l scaleLoad) desiredCount(bounds *serving.Scaling) int {
	perUpstream := max(l.slots/max(l.count, 1), 1)
	need := int(float64(l.inUse)/(targetUtilization*float64(perUpstream))) + 1
	return min(max(need, bounds.Min), bounds.Max)
}

// loads sums up the load of a service by data centre. The caller holds g.mu.
func (s *upstreamScaler) loads(service string) map[string]scaleLoad {
	loads := map[string]scaleLoad{}
	for _, e := range s.g.candidates(sendScope{service: service}) { // no order concerns an evacuated data centre
		l := loads[e.DataCentre]
		l.count++
		l.slots += e.Slots
		peerRequests, _ := s.g.loadOfPeers(e.ID)
		l.inUse += s.g.inFlight[e.ID] + peerRequests
		loads[e.DataCentre] = l
	}
	return loads
}
