package peer

import (
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/membership"
)

// change says what in the state of an upstream changed, the most urgent first.
type change int

const (
	changedService change = iota // leaving or healthy
	changedProcess               // incarnation
	changedVersion               // active or staged versions
	unchanged
)

// sent is what went to one data centre.
type sent struct {
	at time.Time
	// urgent counts the reports since the last change.
	urgent int
}

// track remembers of one upstream what peers have to learn soon and what they were sent.
type track struct {
	last      membership.Upstream
	change    change
	changedAt time.Time
	sent      map[string]*sent
	seen      bool
}

func newTrack(u membership.Upstream, now time.Time) *track {
	return &track{last: u, change: changedProcess, changedAt: now, sent: map[string]*sent{}, seen: true}
}

// observe compares the state with the last one seen.
func (t *track) observe(u membership.Upstream, now time.Time) {
	t.seen = true
	what := difference(t.last, u)
	t.last = u
	if what == unchanged {
		return
	}
	if what > t.change && now.Sub(t.changedAt) < urgentWindow {
		what = t.change
	}
	t.change, t.changedAt = what, now
	for _, s := range t.sent {
		s.urgent = 0
	}
}

func difference(a, b membership.Upstream) change {
	switch {
	case a.Leaving != b.Leaving || a.Healthy != b.Healthy:
		return changedService
	case a.Incarnation != b.Incarnation:
		return changedProcess
	case a.ActiveVersion != b.ActiveVersion || !slices.Equal(a.StagedVersions, b.StagedVersions):
		return changedVersion
	default:
		return unchanged
	}
}

func (t *track) to(dataCentre string) *sent {
	s, ok := t.sent[dataCentre]
	if !ok {
		s = &sent{}
		t.sent[dataCentre] = s
	}
	return s
}

// urgent reports whether the data centre was sent the last change fewer than sends times.
func (t *track) urgent(s *sent, sends int, now time.Time) bool {
	return now.Sub(t.changedAt) < urgentWindow && s.urgent < sends
}
