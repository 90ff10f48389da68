package agent

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/rpc"
)

// Limits on the tracking of suspects.
const (
	maxSuspects = 4096
	// refuseAfterDeaths is the number of deaths from which a fingerprint is refused on all upstreams.
	refuseAfterDeaths = 2
)

// suspect records the deaths of upstreams while requests with one fingerprint ran on them.
type suspect struct {
	deaths    int
	expiresAt time.Time
	// incarnations holds the incarnations of the upstream that died, so that each death is counted once.
	incarnations map[int64]bool
}

// suspects holds the deaths that this agent observed and those that entries reported, by fingerprint.
type suspects struct {
	retention time.Duration

	mu       sync.Mutex
	observed map[string]*suspect
	reported map[string]suspect
}

func newSuspects(retention time.Duration) *suspects {
	return &suspects{retention: retention, observed: map[string]*suspect{}, reported: map[string]suspect{}}
}

// recordDeath counts the death of an upstream incarnation for a fingerprint that ran on it.
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

// recordReported stores the suspects of a heartbeat reply. A new report of a fingerprint replaces the previous one.
func (s *suspects) recordReported(list []*rpc.Quarantined, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for _, q := range list {
		if _, known := s.reported[q.Fingerprint]; !known && len(s.reported) >= maxSuspects {
			continue
		}
		// Limited, so that a wrong value neither overflows nor makes the agent refuse a request forever.
		remaining := time.Duration(min(q.RemainingMs, s.retention.Milliseconds())) * time.Millisecond
		s.reported[q.Fingerprint] = suspect{deaths: int(q.Deaths), expiresAt: now.Add(remaining)}
	}
}

// check refuses a fingerprint with refuseAfterDeaths deaths, and one with fewer unless the request is exclusive.
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
		refusal.Remedy = remedyRepeatWhenIdle
	}
	return refusal
}

// report returns the deaths that this agent observed; entries distribute them to other agents.
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
