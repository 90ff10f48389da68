package peer

import (
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/membership"
)

// change says what in the state of an upstream changed, the most urgent first.
type change int

const (
	changedAvailability change = iota // leaving or healthy
	changedIncarnation                // incarnation
	changedVersion                    // active or staged versions
	unchanged
)

// sendRecord is what went to one data centre.
type sendRecord struct {
	lastSent time.Time
	// sendsSinceChange counts the reports since the last change.
	sendsSinceChange int
}

// upstreamTrack remembers of one upstream what peers have to learn soon and what they were sent.
type upstreamTrack struct {
	last      membership.Upstream
	change    change
	changedAt time.Time
	sent      map[string]*sendRecord
	seen      bool
}

func newUpstreamTrack(u membership.Upstream, now time.Time) *upstreamTrack {
	return &upstreamTrack{last: u, change: changedIncarnation, changedAt: now, sent: map[string]*sendRecord{}, seen: true}
}

// observe compares the state with the last one seen.
func (t *upstreamTrack) observe(u membership.Upstream, now time.Time) {
	t.seen = true
	changed := compareUpstreams(t.last, u)
	t.last = u
	if changed == unchanged {
		return
	}
	if changed > t.change && now.Sub(t.changedAt) < changeWindow {
		changed = t.change
	}
	t.change, t.changedAt = changed, now
	for _, s := range t.sent {
		s.sendsSinceChange = 0
	}
}

func compareUpstreams(a, b membership.Upstream) change {
	switch {
	case a.Leaving != b.Leaving || a.Healthy != b.Healthy:
		return changedAvailability
	case a.Incarnation != b.Incarnation:
		return changedIncarnation
	case a.ActiveVersion != b.ActiveVersion || !slices.Equal(a.StagedVersions, b.StagedVersions):
		return changedVersion
	default:
		return unchanged
	}
}

func (t *upstreamTrack) sentTo(dataCentre string) *sendRecord {
	s, ok := t.sent[dataCentre]
	if !ok {
		s = &sendRecord{}
		t.sent[dataCentre] = s
	}
	return s
}

// needsSend reports whether the data centre was sent the last change fewer than sends times.
func (t *upstreamTrack) needsSend(s *sendRecord, sends int, now time.Time) bool {
	return now.Sub(t.changedAt) < changeWindow && s.sendsSinceChange < sends
}
