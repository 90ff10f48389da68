package agent

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/rpc"
)

// Limits of the memory of suspects.
const (
	maxSuspects = 4096
	// refusedDeaths is the number of deaths after which a fingerprint is refused everywhere.
	refusedDeaths = 2
)

// suspect is a request content that ran on an upstream when it died.
type suspect struct {
	deaths int
	until  time.Time
	// incarnations are the start counts of the upstreams that died, so that one death counts once.
	incarnations map[int64]bool
}

// suspects holds the deaths that this agent saw and those that entries reported.
type suspects struct {
	keep time.Duration

	mu       sync.Mutex
	own      map[string]*suspect
	reported map[string]suspect
}

func newSuspects(keep time.Duration) *suspects {
	return &suspects{keep: keep, own: map[string]*suspect{}, reported: map[string]suspect{}}
}

// died counts the death of one upstream incarnation for a fingerprint that ran on it.
func (s *suspects) died(fingerprint string, incarnation int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	entry := s.own[fingerprint]
	if entry == nil {
		if len(s.own) >= maxSuspects {
			return
		}
		entry = &suspect{incarnations: map[int64]bool{}}
		s.own[fingerprint] = entry
	}
	if entry.incarnations[incarnation] {
		return
	}
	entry.incarnations[incarnation] = true
	entry.deaths++
	entry.until = now.Add(s.keep)
}

// learn replaces what the entries report.
func (s *suspects) learn(list []*rpc.Quarantined, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for _, q := range list {
		if len(s.reported) >= maxSuspects {
			return
		}
		// Bounded, so that a faulty figure neither overflows nor refuses a request for ever.
		remaining := time.Duration(min(q.RemainingMs, s.keep.Milliseconds())) * time.Millisecond
		s.reported[q.Fingerprint] = suspect{deaths: int(q.Deaths), until: now.Add(remaining)}
	}
}

// check refuses a fingerprint with two deaths, and one with a single death unless it runs alone.
func (s *suspects) check(fingerprint string, exclusive bool, now time.Time) error {
	if fingerprint == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	found := s.reported[fingerprint]
	if own := s.own[fingerprint]; own != nil && own.deaths >= found.deaths {
		found = *own
	}
	if found.deaths == 0 || (found.deaths < refusedDeaths && exclusive) {
		return nil
	}
	refusal := &outcome.Refusal{
		Kind: outcome.KindQuarantined, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
		Message:    fmt.Sprintf("%d upstreams died while this request ran on them", found.deaths),
		Remedy:     "change the request or wait until the quarantine ends",
		RetryAfter: found.until.Sub(now),
	}
	if found.deaths < refusedDeaths {
		refusal.Remedy = "send the request to an idle upstream, marked to run alone"
	}
	return refusal
}

// report lists the deaths that this agent saw; those of others are passed on by the entries.
func (s *suspects) report(now time.Time) []*rpc.Quarantined {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var out []*rpc.Quarantined
	for fingerprint, entry := range s.own {
		out = append(out, &rpc.Quarantined{
			Fingerprint: fingerprint, Deaths: int32(entry.deaths), RemainingMs: entry.until.Sub(now).Milliseconds(),
		})
	}
	return out
}

func (s *suspects) expire(now time.Time) {
	for fingerprint, entry := range s.own {
		if !now.Before(entry.until) {
			delete(s.own, fingerprint)
		}
	}
	for fingerprint, entry := range s.reported {
		if !now.Before(entry.until) {
			delete(s.reported, fingerprint)
		}
	}
}
