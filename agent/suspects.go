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
	// refuseAfterDeaths is the number of deaths after which a fingerprint is refused everywhere.
	refuseAfterDeaths = 2
)

// suspect is a request content that ran on an upstream when it died.
type suspect struct {
	deaths    int
	expiresAt time.Time
	// incarnations are the start counts of the upstreams that died, so that one death counts once.
	incarnations map[int64]bool
}

// suspects holds the deaths that this agent saw and those that entries reported.
type suspects struct {
	retention time.Duration

	mu       sync.Mutex
	observed map[string]*suspect
	reported map[string]suspect
}

func newSuspects(retention time.Duration) *suspects {
	return &suspects{retention: retention, observed: map[string]*suspect{}, reported: map[string]suspect{}}
}

// recordDeath counts the death of one upstream incarnation for a fingerprint that ran on it.
func (s *suspects) recordDeath(fingerprint string, incarnation int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	record := s.observed[fingerprint]
	if record == nil {
		if len(s.observed) >= maxSuspects {
			return
		}
		record = &suspect{incarnations: map[int64]bool{}}
		s.observed[fingerprint] = record
	}
	if record.incarnations[incarnation] {
		return
	}
	record.incarnations[incarnation] = true
	record.deaths++
	record.expiresAt = now.Add(s.retention)
}

// recordReported replaces what the entries report.
func (s *suspects) recordReported(list []*rpc.Quarantined, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for _, q := range list {
		if len(s.reported) >= maxSuspects {
			return
		}
		// Bounded, so that a faulty figure neither overflows nor refuses a request for ever.
		remaining := time.Duration(min(q.RemainingMs, s.retention.Milliseconds())) * time.Millisecond
		s.reported[q.Fingerprint] = suspect{deaths: int(q.Deaths), expiresAt: now.Add(remaining)}
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
	if observed := s.observed[fingerprint]; observed != nil && observed.deaths >= found.deaths {
		found = *observed
	}
	if found.deaths == 0 || (found.deaths < refuseAfterDeaths && exclusive) {
		return nil
	}
	refusal := &outcome.Refusal{
		Kind: outcome.KindQuarantined, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
		Message:    fmt.Sprintf("%d upstreams died while this request ran on them", found.deaths),
		Remedy:     "change the request or wait until the quarantine ends",
		RetryAfter: found.expiresAt.Sub(now),
	}
	if found.deaths < refuseAfterDeaths {
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
	for fingerprint, record := range s.observed {
		out = append(out, &rpc.Quarantined{
			Fingerprint: fingerprint, Deaths: int32(record.deaths), RemainingMs: record.expiresAt.Sub(now).Milliseconds(),
		})
	}
	return out
}

func (s *suspects) expire(now time.Time) {
	for fingerprint, record := range s.observed {
		if !now.Before(record.expiresAt) {
			delete(s.observed, fingerprint)
		}
	}
	for fingerprint, record := range s.reported {
		if !now.Before(record.expiresAt) {
			delete(s.reported, fingerprint)
		}
	}
}
